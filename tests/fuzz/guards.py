"""The guards of the code that keep promises, and patches that disable them."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from returns.result import Failure

from aspenbridge.configuration import View
from aspenbridge.membership import Identity
from aspenbridge.online._journal import Journal
from aspenbridge.ports import RowKey
from aspenbridge.store import Changes, Store

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

_absent = Changes.absent


def _skip_epoch_check(identity: Identity, changes: Changes) -> Changes:
    return changes


async def _skip_token_check(
    store: Any, transaction: Any, token: bytes, conflict: Any
) -> Any:
    return Failure(conflict)


def _absent_except_in(table: str) -> Callable[[Changes, RowKey], Changes]:
    """Return ``Changes.absent`` without its effect on rows of one table."""

    def absent(changes: Changes, key: RowKey) -> Changes:
        return changes if key.table == table else _absent(changes, key)

    return absent


async def _open_unchecked(
    journal: Any, key: RowKey, record: Any, version: int = 0
) -> Any:
    changes = journal._identity().guard(Changes().put(key, record))
    result = await journal._store.commit(changes)
    return result.map(lambda committed: committed.versions[key])


def _skip_chunk_check(check: Any) -> Any:
    """Return a check that ignores the versions of chunk rows."""

    def check_unless_chunk(changes: Changes, key: RowKey, version: int) -> Changes:
        return changes if key.table == "chunks" else check(changes, key, version)

    return check_unless_chunk


def _replace_with_any_revision(view: Any, revision: int, objects: Any) -> bool:
    view._objects.clear()
    view._specs.clear()
    view._engines.clear()
    for item in objects:
        view._put(item)
    view.revision = revision
    return True


def _apply_any_revision(view: Any, change: Any) -> bool:
    for item in change.put:
        view._put(item)
    view.revision = change.revision
    return True


def _never_recalled(view: Any, engine: Any) -> bool:
    return False


GUARDS: dict[str, list[tuple[Any, str, Any]]] = {
    "epoch condition": [(Identity, "guard", _skip_epoch_check)],
    "write token": [(Store, "_resolve_conflict", _skip_token_check)],
    "booking journal": [(Journal, "open", _open_unchecked)],
    "idempotency key": [(Changes, "absent", _absent_except_in("keys"))],
    "claim check": [(Changes, "check", _skip_chunk_check(Changes.check))],
    "revision check": [
        (View, "replace", _replace_with_any_revision),
        (View, "apply", _apply_any_revision),
    ],
    "recall filter": [(View, "recalled", _never_recalled)],
}


@contextmanager
def without_guard(guard: str | None) -> Iterator[None]:
    """Disable one guard while the block runs; None disables no guard."""
    patches = [patch.object(*change) for change in GUARDS.get(guard or "", [])]
    for change in patches:
        change.start()
    try:
        yield
    finally:
        for change in patches:
            change.stop()


__all__ = ["GUARDS", "without_guard"]
