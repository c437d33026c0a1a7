"""Work to be generated, places on engines and who hands them out."""

from __future__ import annotations

from ._admission import Admission, Grant
from ._work import Work, new_id

__all__ = ["Admission", "Grant", "Work", "new_id"]
