"""HTTP clients for model engines, plain services and the platform."""

from __future__ import annotations

from ._engines import HttpEngines
from ._platform import HttpHostList, HttpObjects, HttpTable
from ._services import HttpServices
from ._session import open_session

__all__ = [
    "HttpEngines",
    "HttpHostList",
    "HttpObjects",
    "HttpServices",
    "HttpTable",
    "open_session",
]
