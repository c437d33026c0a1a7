"""Generation requests, and admission, which assigns them engine slots."""

from __future__ import annotations

from ._admission import Admission, Grant
from ._work import Work, new_id

__all__ = ["Admission", "Grant", "Work", "new_id"]
