"""An error with a result code and the detail of one occurrence."""

from __future__ import annotations

import attrs

from ._codes import Execution, ResultCode, code_table

RETRY_ELSEWHERE_S = 0.02  # short, since the retry goes to another host


@attrs.frozen
class Problem:
    """
    A failed outcome, as it is reported to callers and other hosts.

    ``execution`` defaults to the value in the table of result codes.
    """

    code: ResultCode
    detail: str
    execution: Execution = attrs.field()
    retry_after_s: float | None = None

    @execution.default
    def _default_execution(self) -> Execution:
        return code_table()[self.code].execution

    @property
    def status(self) -> int:
        """The HTTP status that belongs to the result code."""
        return code_table()[self.code].status

    def error(self) -> ProblemError:
        """Return an exception that holds this problem."""
        return ProblemError(self)


class ProblemError(Exception):
    """Raised when a request or an operation fails with a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.code.name} ({problem.code}): {problem.detail}")
        self.problem = problem


def stopping_problem() -> Problem:
    """Return the refusal of a host that stops."""
    return Problem(
        ResultCode.SHUTTING_DOWN,
        "this host is stopping",
        retry_after_s=RETRY_ELSEWHERE_S,
    )
