"""Result codes after which accepted work repeats a generation."""

from __future__ import annotations

from aspenbridge.result_codes import ResultCode

# Temporary conditions; the work is retried until a time limit.
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
# Failures of engines; the work is retried a limited number of times.
LIMITED_RETRY_CODES = frozenset(
    {ResultCode.BACKEND_FAILED, ResultCode.STREAM_TRUNCATED}
)
