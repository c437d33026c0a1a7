"""A problem: one result code with what was wrong in this case."""

from __future__ import annotations

import attrs

from ._codes import Execution, ResultCode, code_table


@attrs.frozen
class Problem:
    """One failed outcome, as callers and other hosts learn it."""

    code: ResultCode
    detail: str
    execution: Execution = attrs.field()
    retry_after_s: float | None = None

    @execution.default
    def _usual_execution(self) -> Execution:
        return code_table()[self.code].execution

    @property
    def status(self) -> int:
        """The HTTP status that goes with the code."""
        return code_table()[self.code].status

    def error(self) -> ProblemError:
        """Return an exception that carries this problem."""
        return ProblemError(self)


class ProblemError(Exception):
    """Raised where a request or an operation ends in a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.code.name} ({problem.code}): {problem.detail}")
        self.problem = problem
