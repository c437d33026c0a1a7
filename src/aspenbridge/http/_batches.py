"""Routes for files and batch jobs, compatible with OpenAI clients."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from sanic import HTTPResponse

from aspenbridge.result_codes import Problem, ResultCode, code_table

from ._bodies import BatchBody, check_metadata, read_body, read_idempotency_key
from ._replies import json_reply, value_of

if TYPE_CHECKING:
    from sanic import Request

    from aspenbridge.batch import JobStatus
    from aspenbridge.bounded_requests import BoundedRequest
    from aspenbridge.host import HostCore

JSON_LINES = "application/jsonl"
MULTIPART_FORM = "multipart/form-data"
STATUS_CREATED = 201
OUTPUT_FILE_PREFIX = "output-"
OPENAI_STATUS_BY_STATE = {
    "queued": "validating",
    "running": "in_progress",
    "completed": "completed",
    "cancelled": "cancelled",
}


class BatchRoutes:
    """
    Handlers of the routes for files and batch jobs.

    The names of the handlers are part of the names of their timing metrics.
    """

    def __init__(self, host: HostCore) -> None:
        self._host = host

    async def upload(self, request: BoundedRequest, customer: str) -> HTTPResponse:
        """Store a batch input file, sent as a form or as the plain body."""
        await request.receive_file()
        content = _file_content(request)
        record = value_of(await self._host.files.upload(customer, content))
        body = {
            "id": record.file_id,
            "object": "file",
            "purpose": "batch",
            "bytes": record.size_bytes,
            "items": record.items,
        }
        return json_reply(body, STATUS_CREATED)

    async def file(self, request: Request, customer: str, file_id: str) -> HTTPResponse:
        """Return the metadata of an uploaded file."""
        record = value_of(await self._host.files.read(customer, file_id))
        body = {
            "id": record.file_id,
            "object": "file",
            "purpose": "batch",
            "bytes": record.size_bytes,
            "items": record.items,
        }
        return json_reply(body)

    async def content(
        self, request: Request, customer: str, file_id: str
    ) -> HTTPResponse:
        """Return the output file of a batch."""
        if not file_id.startswith(OUTPUT_FILE_PREFIX):
            detail = f"{file_id[:60]!r} is not the output file of a batch"
            raise Problem(ResultCode.NOT_FOUND, detail).error()
        job_id = file_id.removeprefix(OUTPUT_FILE_PREFIX)
        outcomes = value_of(await self._host.jobs.outcomes(customer, job_id))
        return _json_lines(_output_line(job_id, outcome) for outcome in outcomes)

    async def submit(self, request: Request, customer: str) -> HTTPResponse:
        """Create a batch job from an uploaded file."""
        body = read_body(request, BatchBody)
        due_wall_s = self._host.ports.clock.wall_s() + body.window_s
        key = read_idempotency_key(request)
        labels = check_metadata(body.metadata)
        file = value_of(await self._host.files.read(customer, body.input_file_id))
        job = value_of(
            await self._host.running.run_shielded(
                self._host.jobs.submit(file, key, due_wall_s, labels)
            )
        )
        status = value_of(await self._host.jobs.status(customer, job.job_id))
        return json_reply(batch_body(status), STATUS_CREATED)

    async def job(self, request: Request, customer: str, job_id: str) -> HTTPResponse:
        """Return the state and progress of a job."""
        status = value_of(await self._host.jobs.status(customer, job_id))
        return json_reply(batch_body(status))

    async def cancel(
        self, request: Request, customer: str, job_id: str
    ) -> HTTPResponse:
        """Cancel a job and return its state and progress."""
        value_of(
            await self._host.running.run_shielded(
                self._host.jobs.cancel(customer, job_id)
            )
        )
        return await self.job(request, customer, job_id)

    async def results(
        self, request: Request, customer: str, job_id: str
    ) -> HTTPResponse:
        """Return a job's results as JSON lines, one for each item."""
        outcomes = value_of(await self._host.jobs.outcomes(customer, job_id))
        return _json_lines(outcomes)


def batch_body(status: JobStatus) -> dict[str, Any]:
    """Return the response body for a batch, in the OpenAI format."""
    job = status.job
    return {
        "id": job.job_id,
        "object": "batch",
        "endpoint": "/v1/chat/completions",
        "input_file_id": job.file_id,
        "output_file_id": OUTPUT_FILE_PREFIX + job.job_id,
        "status": OPENAI_STATUS_BY_STATE.get(job.state, job.state),
        "state": job.state,
        "created_at": int(job.created_wall_s),
        "expires_at": int(job.due_wall_s),
        "metadata": job.labels,
        "request_counts": {
            "total": job.items,
            "completed": status.done - status.failed,
            "failed": status.failed,
        },
    }


def _file_content(request: BoundedRequest) -> bytes:
    if not (request.content_type or "").lower().startswith(MULTIPART_FORM):
        return request.body
    try:
        files = request.files
        part = files.get("file") if files else None
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        detail = f"the form can't be read: {type(error).__name__}"
        raise Problem(ResultCode.MALFORMED_BODY, detail).error() from error
    if part is None:
        detail = "the form has no part named 'file'"
        raise Problem(ResultCode.MALFORMED_BODY, detail).error()
    content: bytes = part.body
    return content


def _output_line(job_id: str, outcome: Any) -> dict[str, Any]:
    if outcome.code != ResultCode.OK:
        title = code_table()[ResultCode(outcome.code)].title
        error_text = f"{title}: {outcome.detail}"
        error = {"code": str(outcome.code), "message": error_text}
        return {
            "id": f"{job_id}/{outcome.custom_id}",
            "custom_id": outcome.custom_id,
            "response": None,
            "error": error,
        }
    message = {"role": "assistant", "content": outcome.text}
    body = {
        "object": "chat.completion",
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": {"completion_tokens": outcome.tokens},
        "served_by": outcome.served_by,
    }
    return {
        "id": f"{job_id}/{outcome.custom_id}",
        "custom_id": outcome.custom_id,
        "response": {"status_code": 200, "body": body},
        "error": None,
    }


def _json_lines(values: Any) -> HTTPResponse:
    body = b"".join(msgspec.json.encode(value) + b"\n" for value in values)
    return HTTPResponse(body, content_type=JSON_LINES)
