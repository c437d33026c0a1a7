"""Reads request bodies into typed values."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import attrs
import msgspec

from aspenbridge.result_codes import Problem, ResultCode

if TYPE_CHECKING:
    from sanic import Request

Body = TypeVar("Body")
MAX_TOKENS_LIMIT = 32_768
DEFAULT_MAX_TOKENS = 256


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str


@attrs.frozen
class ChatBody:
    """The body of a chat completion."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    adapter: str | None = None

    @property
    def prompt(self) -> str:
        """The conversation as one text."""
        return "\n".join(message.content for message in self.messages)


@attrs.frozen
class BatchBody:
    """The body that creates a batch."""

    input_file_id: str
    completion_window_s: float = 86_400.0
    metadata: dict[str, str] = attrs.field(factory=dict)


def read_body(request: Request, body_class: type[Body]) -> Body:
    """
    Return the typed body of a request.

    :raises ProblemError: when it is not valid.
    """
    try:
        return msgspec.json.decode(request.body, type=body_class)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Problem(ResultCode.MALFORMED_BODY, str(error)).error() from error


def check_chat(body: ChatBody) -> None:
    """
    Check the values of a chat body.

    :raises ProblemError: naming the value that is out of range.
    """
    if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
        detail = f"max_tokens is {body.max_tokens}, not 1 to {MAX_TOKENS_LIMIT}"
        raise Problem(ResultCode.INVALID_PARAMETER, detail).error()
    if not body.messages:
        raise Problem(ResultCode.INVALID_PARAMETER, "messages is empty").error()
