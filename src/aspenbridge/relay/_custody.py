"""
Decides whether a request may be passed on, and who may act on it.

A host that stops refuses a request as "not run" only if nobody else has it,
and nobody may get it afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


def _refuses_nothing() -> bool:
    return False


@attrs.define(eq=False)
class Custody:
    """
    Who has a request: this host alone, or an engine or the store as well.

    :ivar passed_on: whether anyone else may act on the request, or has.
    :ivar given_up: whether the host has ended the request.
    """

    # Whether the host refuses what it has not passed on before.
    _refuses_new: Callable[[], bool] = _refuses_nothing
    passed_on: bool = False
    given_up: bool = False

    def pass_on(self) -> bool:
        """Return whether the request may be sent; it then counts as sent."""
        if self.given_up:
            return False
        if not self.passed_on and not self._refuses_new():
            self.passed_on = True
        return self.passed_on

    def take_back(self) -> None:
        """Note that whoever had the request will never act on it."""
        self.passed_on = False

    def give_up(self) -> None:
        """Forbid all sends from now on."""
        self.given_up = True
