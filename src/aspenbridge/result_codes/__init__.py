"""Numbered result codes, and problems: errors that carry such a code."""

from __future__ import annotations

from ._codes import CodeInfo, Execution, ResultCode, code_table
from ._problem import Problem, ProblemError, stopping_problem
from ._reference import codes_page

__all__ = [
    "CodeInfo",
    "Execution",
    "Problem",
    "ProblemError",
    "ResultCode",
    "code_table",
    "codes_page",
    "stopping_problem",
]
