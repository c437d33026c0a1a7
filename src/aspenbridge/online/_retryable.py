"""Which problems of a generation may pass when accepted work tries again."""

from __future__ import annotations

from aspenbridge.result_codes import ResultCode

TRANSIENT_CODES = frozenset(
    {
        ResultCode.OVERLOADED,
        ResultCode.CUSTOMER_LIMIT,
        ResultCode.DEADLINE_EXCEEDED,
        ResultCode.NO_ENGINE_ALLOWED,
        ResultCode.STORE_UNAVAILABLE,
        ResultCode.CONFIGURATION_UNKNOWN,
    }
)
LIMITED_RETRY_CODES = frozenset(
    {ResultCode.BACKEND_FAILED, ResultCode.STREAM_TRUNCATED}
)
