"""Running work, whose grants are revoked when a revision forbids them."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aspenbridge.configuration import View
    from aspenbridge.work import Grant, Work


class RunningGrants:
    """Tracks running grants; revokes those that a new revision forbids."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._held: dict[str, tuple[Work, Grant]] = {}
        self.revoked = 0
        view.watch(self._revoke_forbidden)

    @contextmanager
    def track(self, work: Work, grant: Grant) -> Iterator[None]:
        """Track a grant while the block runs."""
        self._held[grant.grant_id] = (work, grant)
        try:
            yield
        finally:
            self._held.pop(grant.grant_id, None)

    def _revoke_forbidden(self) -> None:
        for work, grant in self._held.values():
            if self._view.must_stop(work, grant.engine):
                self.revoked += 1
                grant.revoked.set()
