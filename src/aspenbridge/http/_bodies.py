"""Reads request bodies into typed values."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, TypeVar

import attrs
import msgspec

from aspenbridge.result_codes import Problem, ResultCode

if TYPE_CHECKING:
    from sanic import Request

Body = TypeVar("Body")
MAX_TOKENS_LIMIT = 32_768
DEFAULT_MAX_TOKENS = 256
DEFAULT_WINDOW_S = 86_400.0
MAX_METADATA = 16
MAX_METADATA_CHARACTERS = 512
MAX_KEY_CHARACTERS = 255
IDEMPOTENCY_HEADER = "idempotency-key"
TEXT_PART = "text"
_WINDOW = re.compile(r"(\d{1,4})([hd])")
_UNIT_S = {"h": 3600.0, "d": 86_400.0}


@attrs.frozen
class ContentPart:
    """One part of a message; only text is served."""

    type: str
    text: str = ""


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str | tuple[ContentPart, ...] | None = None

    @property
    def text(self) -> str:
        """The content as one text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content or ())


@attrs.frozen
class ChatBody:
    """The body of a chat completion; other fields are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    stream: bool | None = False
    adapter: str | None = None

    @property
    def prompt(self) -> str:
        """The conversation as one text."""
        return "\n".join(message.text for message in self.messages)

    @property
    def token_limit(self) -> int:
        """The largest number of tokens to generate."""
        if self.max_completion_tokens is not None:
            return self.max_completion_tokens
        return DEFAULT_MAX_TOKENS if self.max_tokens is None else self.max_tokens


@attrs.frozen
class BatchBody:
    """The body that creates a batch."""

    input_file_id: str
    completion_window: str | None = None
    completion_window_s: float | None = None
    metadata: dict[str, str] | None = None

    @property
    def window_s(self) -> float:
        """
        The time from now until the batch is due.

        :raises ProblemError: when it is not a positive time.
        """
        window_s = self.completion_window_s
        if window_s is None:
            window_s = _window_s(self.completion_window)
        if not 0.0 < window_s < float("inf"):
            raise _invalid(f"completion_window_s is {window_s}, not above 0")
        return window_s


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
    limit = body.token_limit
    if not 1 <= limit <= MAX_TOKENS_LIMIT:
        raise _invalid(f"max_tokens is {limit}, not 1 to {MAX_TOKENS_LIMIT}")
    if not body.messages:
        raise _invalid("messages is empty")
    if body.n not in (None, 1):
        raise _invalid(f"n is {body.n}, only 1 is served")
    for message in body.messages:
        _check_content(message)


def check_metadata(metadata: dict[str, str] | None) -> dict[str, str]:
    """
    Return the labels that a job is given.

    :raises ProblemError: when there are too many or one is too long.
    """
    labels = metadata or {}
    if len(labels) > MAX_METADATA:
        raise _invalid(f"metadata has {len(labels)} keys, not up to {MAX_METADATA}")
    for key, value in labels.items():
        if max(len(key), len(value)) > MAX_METADATA_CHARACTERS:
            raise _invalid(f"metadata {key[:40]!r} is too long")
    return labels


def read_idempotency_key(request: Request) -> str | None:
    """
    Return the idempotency key of a request.

    :raises ProblemError: when it is no printable ASCII text of proper length.
    """
    key: str | None = request.headers.get(IDEMPOTENCY_HEADER)
    if key is None:
        return None
    if not (key.isascii() and key.isprintable() and 0 < len(key) <= MAX_KEY_CHARACTERS):
        limit = f"1 to {MAX_KEY_CHARACTERS} printable ASCII characters"
        raise _invalid(f"Idempotency-Key must have {limit}")
    return key


def _check_content(message: ChatMessage) -> None:
    if message.content is None or isinstance(message.content, str):
        return
    for part in message.content:
        if part.type != TEXT_PART:
            raise _invalid(f"content of type {part.type[:40]!r} is not served")


def _window_s(window: str | None) -> float:
    if window is None:
        return DEFAULT_WINDOW_S
    match = _WINDOW.fullmatch(window)
    if match is None:
        raise _invalid(f"completion_window is {window[:40]!r}, not such as '24h'")
    return int(match[1]) * _UNIT_S[match[2]]


def _invalid(detail: str) -> Exception:
    return Problem(ResultCode.INVALID_PARAMETER, detail).error()
