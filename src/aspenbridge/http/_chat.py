"""Chat completions, as one JSON body or as server-sent events."""

from __future__ import annotations

import logging
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import msgspec

from aspenbridge.online import Generation
from aspenbridge.result_codes import Problem, ProblemError, ResultCode
from aspenbridge.telemetry import TRACEPARENT, current_traceparent
from aspenbridge.work import Work, new_id

from ._bodies import ChatBody, check_chat, read_body
from ._replies import json_reply, problem_body

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sanic import HTTPResponse, Request

    from aspenbridge.host import HostCore
    from aspenbridge.ports import GeneratedChunk

logger = logging.getLogger(__name__)
EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
_encode = msgspec.json.encode


def chat_work(
    host: HostCore, request: Request, customer: str, prefix: str
) -> tuple[Work, ChatBody]:
    """
    Return the work that a chat completion body requests, and the body.

    :param prefix: the prefix of the new work id.
    :raises ProblemError: when the body is not valid.
    """
    body = read_body(request, ChatBody)
    check_chat(body)
    work = Work(
        work_id=new_id(prefix, host.ports.random),
        customer=customer,
        model=body.model,
        prompt=body.prompt,
        max_tokens=body.token_limit,
        online=True,
        deadline_s=host.ports.clock.now_s() + host.settings.limits.online_deadline_s,
        adapter=body.adapter,
    )
    return work, body


class EventEncoder:
    """
    Encodes the events of one stream.

    The JSON text that is the same in each event is encoded only once.
    """

    def __init__(self, work: Work, created_wall_s: float) -> None:
        common_fields = {
            "id": work.work_id,
            "object": "chat.completion.chunk",
            "created": int(created_wall_s),
            "model": work.model,
        }
        common_json = _encode(common_fields)[:-1]
        self._prefix = (
            b"data: " + common_json + b',"choices":[{"index":0,"delta":{"content":'
        )

    def delta(self, chunk: GeneratedChunk) -> bytes:
        """Return the event that carries a chunk."""
        reason_json = _encode(chunk.finish_reason)
        text_json = _encode(chunk.text)
        return b'%b%b},"finish_reason":%b}]}\n\n' % (
            self._prefix,
            text_json,
            reason_json,
        )


class ChatRoutes:
    """
    The handler of chat completions.

    Its name is part of the name of its timing metric.
    """

    def __init__(self, host: HostCore) -> None:
        self._host = host

    async def chat(self, request: Request, customer: str) -> HTTPResponse | None:
        """Run a chat completion; return None when the reply was streamed."""
        work, body = chat_work(self._host, request, customer, "chat")
        generation = Generation(work, streamed=bool(body.stream))
        async with aclosing(self._host.generator.run(generation)) as chunks:
            if body.stream:
                await self._stream(request, work, chunks)
                return None
            async for _ in chunks:
                pass
        created_wall_s = self._host.ports.clock.wall_s()
        return json_reply(completion_body(generation, created_wall_s))

    async def _stream(
        self, request: Request, work: Work, chunks: AsyncIterator[GeneratedChunk]
    ) -> None:
        # Wait for the first chunk before the response starts, so that a
        # refusal is still sent with its own HTTP status.
        first_chunk = await anext(chunks, None)
        encoder = EventEncoder(work, self._host.ports.clock.wall_s())
        traceparent = current_traceparent()
        headers = {"cache-control": "no-cache"}
        if traceparent:
            headers[TRACEPARENT] = traceparent
        response = await request.respond(headers=headers, content_type=EVENT_STREAM)
        try:
            if first_chunk is not None:
                await response.send(encoder.delta(first_chunk))
            async for chunk in chunks:
                await response.send(encoder.delta(chunk))
        except ProblemError as error:
            last_event = _error_event(error.problem)
        except Exception as error:
            logger.exception("stream %s failed", work.work_id)
            detail = f"the stream failed: {type(error).__name__}"
            last_event = _error_event(Problem(ResultCode.INTERNAL_ERROR, detail))
        else:
            last_event = DONE_EVENT
        await response.send(last_event)
        await response.eof()


def completion_body(generation: Generation, created_wall_s: float) -> dict[str, Any]:
    """Return the response body of a completion that is not streamed."""
    work = generation.work
    message = {"role": "assistant", "content": generation.text}
    choice = {
        "index": 0,
        "message": message,
        "finish_reason": generation.finish_reason,
    }
    usage = {
        "prompt_tokens": work.prompt_tokens,
        "completion_tokens": generation.tokens,
        "total_tokens": work.prompt_tokens + generation.tokens,
    }
    return {
        "id": work.work_id,
        "object": "chat.completion",
        "created": int(created_wall_s),
        "model": work.model,
        "choices": [choice],
        "usage": usage,
    }


def _error_event(problem: Problem) -> bytes:
    return b"data: " + _encode({"error": problem_body(problem)}) + b"\n\n"
