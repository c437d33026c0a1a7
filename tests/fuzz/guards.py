"""Each guard of the code, and how a test takes it out."""

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


def _no_epoch(identity: Identity, changes: Changes) -> Changes:
    return changes


async def _no_token(store: Any, transaction: Any, token: bytes, conflict: Any) -> Any:
    return Failure(conflict)


def _absent_but_in(table: str) -> Callable[[Changes, RowKey], Changes]:
    def absent(changes: Changes, key: RowKey) -> Changes:
        return changes if key.table == table else _absent(changes, key)

    return absent


async def _open_always(journal: Any, key: RowKey, record: Any, version: int = 0) -> Any:
    changes = journal._identity().guard(Changes().put(key, record))
    result = await journal._store.commit(changes)
    return result.map(lambda committed: committed.versions[key])


def _count_always(check: Any) -> Any:
    """Leave the version of a chunk's row out of what a count depends on."""

    def changed(changes: Changes, key: RowKey, version: int) -> Changes:
        return changes if key.table == "chunks" else check(changes, key, version)

    return changed


def _replace_always(view: Any, revision: int, objects: Any) -> bool:
    view._objects.clear()
    view._specs.clear()
    view._engines.clear()
    for item in objects:
        view._put(item)
    view.revision = revision
    return True


def _apply_always(view: Any, change: Any) -> bool:
    for item in change.put:
        view._put(item)
    view.revision = change.revision
    return True


def _never_recalled(view: Any, engine: Any) -> bool:
    return False


GUARDS: dict[str, list[tuple[Any, str, Any]]] = {
    "epoch condition": [(Identity, "guard", _no_epoch)],
    "write token": [(Store, "_resolve_conflict", _no_token)],
    "booking journal": [(Journal, "open", _open_always)],
    "idempotency key": [(Changes, "absent", _absent_but_in("keys"))],
    "claim check": [(Changes, "check", _count_always(Changes.check))],
    "revision check": [
        (View, "replace", _replace_always),
        (View, "apply", _apply_always),
    ],
    "recall filter": [(View, "recalled", _never_recalled)],
}


@contextmanager
def without(guard: str | None) -> Iterator[None]:
    """Run with one guard taken out."""
    patches = [patch.object(*change) for change in GUARDS.get(guard or "", [])]
    for change in patches:
        change.start()
    try:
        yield
    finally:
        for change in patches:
            change.stop()


__all__ = ["GUARDS", "without"]
