"""Routes for customers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result

from aspenbridge.online import Generation
from aspenbridge.result_codes import Problem, ProblemError
from aspenbridge.work import Work, new_id

from ._auth import authenticate
from ._bodies import BatchBody, ChatBody, check_chat, read_body
from ._replies import json_reply, problem_body

if TYPE_CHECKING:
    from sanic import HTTPResponse, Request, Sanic

    from aspenbridge.batch import JobStatus
    from aspenbridge.host import HostCore
    from aspenbridge.online import CodingRecord

EVENT_STREAM = "text/event-stream"
IDEMPOTENCY_HEADER = "idempotency-key"


def value_of(result: Result[Any, Problem]) -> Any:
    """
    Return the value of a result.

    :raises ProblemError: when the result is a problem.
    """
    if isinstance(result, Failure):
        raise result.failure().error()
    return result.unwrap()


class CustomerRoutes:
    """Handlers of the customers' routes."""

    def __init__(self, host: HostCore) -> None:
        self._host = host

    def _customer(self, request: Request) -> str:
        caller = authenticate(request, self._host.view, "customer")
        refusal = self._host.refusal()
        if refusal is not None:
            raise refusal.error()
        return caller.name

    def _deadline_s(self) -> float:
        limits = self._host.settings.limits
        return self._host.ports.clock.now_s() + limits.online_deadline_s

    def _work(self, request: Request, prefix: str) -> tuple[Work, ChatBody]:
        customer = self._customer(request)
        body = read_body(request, ChatBody)
        check_chat(body)
        work = Work(
            work_id=new_id(prefix, self._host.ports.random),
            customer=customer,
            model=body.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            online=True,
            deadline_s=self._deadline_s(),
            adapter=body.adapter,
        )
        return work, body

    async def chat(self, request: Request) -> HTTPResponse | None:
        """Answer a chat completion, whole or as server-sent events."""
        work, body = self._work(request, "chat")
        if body.stream:
            await self._stream(request, work)
            return None
        generation = Generation(work)
        async for _ in self._host.generator.run(generation):
            pass
        return json_reply(_completion(generation))

    async def _stream(self, request: Request, work: Work) -> None:
        generation = Generation(work, streamed=True)
        chunks = self._host.generator.run(generation)
        first = await anext(chunks)
        response = await request.respond(content_type=EVENT_STREAM)
        await response.send(_event(_delta(work, first.text, first.finish_reason)))
        try:
            async for chunk in chunks:
                await response.send(
                    _event(_delta(work, chunk.text, chunk.finish_reason))
                )
        except ProblemError as error:
            await response.send(_event({"error": problem_body(error.problem)}))
        else:
            await response.send(b"data: [DONE]\n\n")
        finally:
            await chunks.aclose()
        await response.eof()

    async def code(self, request: Request) -> HTTPResponse:
        """Accept a coding request and answer it."""
        work, _ = self._work(request, "req")
        key = request.headers.get(IDEMPOTENCY_HEADER)
        record = value_of(await self._host.coding.submit(work, key))
        return json_reply(_coding(record))

    async def read_code(self, request: Request, request_id: str) -> HTTPResponse:
        """Return an earlier coding request."""
        customer = self._customer(request)
        record = value_of(await self._host.coding.read(customer, request_id))
        return json_reply(_coding(record))

    async def models(self, request: Request) -> HTTPResponse:
        """List the models."""
        self._customer(request)
        names = sorted({engine.model for engine in self._host.view.engines()})
        data = [{"id": name, "object": "model"} for name in names]
        return json_reply({"object": "list", "data": data})

    async def upload(self, request: Request) -> HTTPResponse:
        """Take in a batch file."""
        customer = self._customer(request)
        record = value_of(await self._host.files.upload(customer, request.body))
        return json_reply({"id": record.file_id, "items": record.items}, 201)

    async def submit(self, request: Request) -> HTTPResponse:
        """Create a batch job."""
        customer = self._customer(request)
        body = read_body(request, BatchBody)
        file = value_of(await self._host.files.read(customer, body.input_file_id))
        due_wall_s = self._host.ports.clock.wall_s() + body.completion_window_s
        key = request.headers.get(IDEMPOTENCY_HEADER)
        job = value_of(
            await self._host.jobs.submit(file, key, due_wall_s, body.metadata)
        )
        return json_reply({"id": job.job_id, "status": job.state}, 201)

    async def job(self, request: Request, job_id: str) -> HTTPResponse:
        """Tell how far a job is."""
        customer = self._customer(request)
        status = value_of(await self._host.jobs.status(customer, job_id))
        return json_reply(_job(status))

    async def cancel(self, request: Request, job_id: str) -> HTTPResponse:
        """Cancel a job."""
        customer = self._customer(request)
        job = value_of(await self._host.jobs.cancel(customer, job_id))
        return json_reply({"id": job.job_id, "status": job.state})

    async def results(self, request: Request, job_id: str) -> HTTPResponse:
        """Return a job's results as JSON lines."""
        customer = self._customer(request)
        outcomes = value_of(await self._host.jobs.outcomes(customer, job_id))
        response = json_reply(None)
        response.body = b"".join(
            msgspec.json.encode(outcome) + b"\n" for outcome in outcomes
        )
        response.content_type = "application/jsonl"
        return response

    async def call(self, request: Request, service: str, path: str) -> HTTPResponse:
        """Pass a call on to a plain service."""
        customer = self._customer(request)
        reply = value_of(
            await self._host.calls.call(
                customer,
                service,
                request.method,
                f"/{path}",
                request.body,
                request.headers.get(IDEMPOTENCY_HEADER),
                self._deadline_s(),
            )
        )
        response = json_reply(None, reply.status)
        response.body = reply.body
        response.content_type = reply.content_type
        return response


def add_customer_routes(app: Sanic[Any, Any], host: HostCore) -> None:
    """Add the customers' routes to an application."""
    routes = CustomerRoutes(host)
    app.add_route(routes.chat, "/v1/chat/completions", methods=["POST"])
    app.add_route(routes.code, "/v1/coding", methods=["POST"])
    app.add_route(routes.read_code, "/v1/coding/<request_id>", methods=["GET"])
    app.add_route(routes.models, "/v1/models", methods=["GET"])
    app.add_route(routes.upload, "/v1/files", methods=["POST"])
    app.add_route(routes.submit, "/v1/batches", methods=["POST"])
    app.add_route(routes.job, "/v1/batches/<job_id>", methods=["GET"])
    app.add_route(routes.cancel, "/v1/batches/<job_id>/cancel", methods=["POST"])
    app.add_route(routes.results, "/v1/batches/<job_id>/results", methods=["GET"])
    app.add_route(
        routes.call,
        "/v1/services/<service>/<path:path>",
        methods=["GET", "POST", "PUT", "DELETE"],
    )


def _event(value: Any) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _delta(work: Work, text: str, finish_reason: str | None) -> dict[str, Any]:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
    return {
        "id": work.work_id,
        "object": "chat.completion.chunk",
        "model": work.model,
        "choices": [choice],
    }


def _completion(generation: Generation) -> dict[str, Any]:
    work = generation.work
    message = {"role": "assistant", "content": generation.text}
    return {
        "id": work.work_id,
        "object": "chat.completion",
        "model": work.model,
        "choices": [
            {"index": 0, "message": message, "finish_reason": generation.finish_reason}
        ],
        "usage": {
            "prompt_tokens": work.prompt_tokens,
            "completion_tokens": generation.tokens,
        },
    }


def _coding(record: CodingRecord) -> dict[str, Any]:
    return {
        "id": record.request_id,
        "state": record.state,
        "text": record.text,
        "served_by": record.served_by,
        "code": record.code,
        "detail": record.detail,
    }


def _job(status: JobStatus) -> dict[str, Any]:
    return {
        "id": status.job.job_id,
        "status": status.job.state,
        "request_counts": {
            "total": status.job.items,
            "completed": status.done,
            "failed": status.failed,
        },
    }
