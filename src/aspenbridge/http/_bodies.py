"""Decodes and validates request bodies and the idempotency key."""

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
DEFAULT_COMPLETION_WINDOW_S = 86_400.0
MAX_METADATA_KEYS = 16
MAX_METADATA_CHARACTERS = 512
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
IDEMPOTENCY_HEADER = "idempotency-key"
TEXT_PART_TYPE = "text"
_WINDOW_PATTERN = re.compile(r"(\d{1,4})([hd])")
_SECONDS_BY_UNIT = {"h": 3600.0, "d": 86_400.0}


@attrs.frozen
class ContentPart:
    """One part of a message's content; only text parts are accepted."""

    type: str
    text: str = ""


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str | tuple[ContentPart, ...] | None = None

    @property
    def text(self) -> str:
        """The text of all content parts, joined."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content or ())


@attrs.frozen
class ChatBody:
    """The body of a chat completion request; unknown fields are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    stream: bool | None = False
    adapter: str | None = None

    @property
    def prompt(self) -> str:
        """The texts of all messages, joined by newlines."""
        return "\n".join(message.text for message in self.messages)

    @property
    def token_limit(self) -> int:
        """The maximum number of tokens to generate."""
        if self.max_completion_tokens is not None:
            return self.max_completion_tokens
        return DEFAULT_MAX_TOKENS if self.max_tokens is None else self.max_tokens


@attrs.frozen
class BatchBody:
    """The body of a request that creates a batch job."""

    input_file_id: str
    completion_window: str | None = None
    completion_window_s: float | None = None
    metadata: dict[str, str] | None = None

    @property
    def window_s(self) -> float:
        """
        The number of seconds from now until the batch is due.

        :raises ProblemError: when ``completion_window`` is malformed or the
            number is not positive and finite.
        """
        window_s = self.completion_window_s
        if window_s is None:
            window_s = _parse_window_s(self.completion_window)
        if not 0.0 < window_s < float("inf"):
            raise _invalid_parameter(
                f"completion_window_s is {window_s}, expected a positive finite number"
            )
        return window_s


def read_body(request: Request, body_class: type[Body]) -> Body:
    """
    Decode the JSON body of a request into a typed object.

    :raises ProblemError: when the body is not valid JSON of this type.
    """
    try:
        return msgspec.json.decode(request.body, type=body_class)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Problem(ResultCode.MALFORMED_BODY, str(error)).error() from error


def check_chat(body: ChatBody) -> None:
    """
    Check the values of a chat completion body.

    :raises ProblemError: when a value is not supported; its detail names the
        value.
    """
    token_limit = body.token_limit
    if not 1 <= token_limit <= MAX_TOKENS_LIMIT:
        raise _invalid_parameter(
            f"max_tokens is {token_limit}, expected 1 to {MAX_TOKENS_LIMIT}"
        )
    if not body.messages:
        raise _invalid_parameter("messages must not be empty")
    if body.n not in (None, 1):
        raise _invalid_parameter(f"n is {body.n}, only 1 is supported")
    for message in body.messages:
        _check_content(message)


def check_metadata(metadata: dict[str, str] | None) -> dict[str, str]:
    """
    Return the labels of a job, taken from its metadata.

    :raises ProblemError: when there are too many, or a key or value is too
        long.
    """
    labels = metadata or {}
    if len(labels) > MAX_METADATA_KEYS:
        raise _invalid_parameter(
            f"metadata has {len(labels)} keys, at most {MAX_METADATA_KEYS} are allowed"
        )
    for key, value in labels.items():
        if max(len(key), len(value)) > MAX_METADATA_CHARACTERS:
            raise _invalid_parameter(
                f"key or value of metadata {key[:40]!r} is too long"
            )
    return labels


def read_idempotency_key(request: Request) -> str | None:
    """
    Return the idempotency key of a request, or None without one.

    :raises ProblemError: when it is empty, too long or not printable ASCII.
    """
    key: str | None = request.headers.get(IDEMPOTENCY_HEADER)
    if key is None:
        return None
    if not (
        key.isascii()
        and key.isprintable()
        and 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS
    ):
        requirement = (
            f"1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} printable ASCII characters"
        )
        raise _invalid_parameter(f"Idempotency-Key must have {requirement}")
    return key


def _check_content(message: ChatMessage) -> None:
    if message.content is None or isinstance(message.content, str):
        return
    for part in message.content:
        if part.type != TEXT_PART_TYPE:
            raise _invalid_parameter(
                f"content of type {part.type[:40]!r} is not supported"
            )


def _parse_window_s(window: str | None) -> float:
    if window is None:
        return DEFAULT_COMPLETION_WINDOW_S
    match = _WINDOW_PATTERN.fullmatch(window)
    if match is None:
        raise _invalid_parameter(
            f"completion_window is {window[:40]!r}, expected a value like '24h' or '7d'"
        )
    return int(match[1]) * _SECONDS_BY_UNIT[match[2]]


def _invalid_parameter(detail: str) -> Exception:
    return Problem(ResultCode.INVALID_PARAMETER, detail).error()
