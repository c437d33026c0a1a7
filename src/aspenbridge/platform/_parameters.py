"""Checks the numbers, ids and targets that callers send outside of a body."""

from __future__ import annotations

import re
from urllib.parse import unquote

# A float holds each number of so many digits exactly.
WHOLE_NUMBER = re.compile(r"[0-9]{1,15}")
DURATION_MS = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
# The store's keys have 200 bytes, five of which name a position within a job.
MAX_ID_CHARACTERS = 195
# An id is the value of a header, whose ends are stripped.
ID_PATTERN = rf"^(?=[ -~]{{1,{MAX_ID_CHARACTERS}}}\Z)[!-~]([ -~]*[!-~])?\Z"
ID = re.compile(ID_PATTERN)
MAX_SHOWN_CHARACTERS = 60


class ParameterError(ValueError):
    """A header, query or path of a caller has a wrong value."""

    def __init__(self, name: str, text: str, expected: str) -> None:
        super().__init__(f"{name} {shown(text)} is not {expected}")


def shown(text: str) -> str:
    """Return a bounded printable form of a caller's text."""
    long = len(text) > MAX_SHOWN_CHARACTERS
    return repr(text[:MAX_SHOWN_CHARACTERS]) + ("..." if long else "")


def whole_number(name: str, text: str) -> int:
    """
    Return a number of 1 to 15 ASCII digits.

    :raises ParameterError: when the text is anything else.
    """
    if WHOLE_NUMBER.fullmatch(text) is None:
        raise ParameterError(name, text, "a whole number of at most 15 digits")
    return int(text)


def duration_s(name: str, text: str) -> float:
    """
    Return a duration in seconds, given in milliseconds.

    :raises ParameterError: when the text is not a decimal number, which may
        have a fraction, of at most 15 digits on each side.
    """
    if DURATION_MS.fullmatch(text) is None:
        raise ParameterError(name, text, "a number of milliseconds")
    return float(text) / 1000


def check_job_id(name: str, text: str) -> str:
    """
    Return the id of a batch job.

    A slash would make the keys of two jobs' results alike.

    :raises ParameterError: when no batch job can have it.
    """
    if ID.fullmatch(text) is None or "/" in text:
        raise ParameterError(name, text, "the id of a batch job")
    return text


def job_id_of(path: str) -> str:
    """
    Return the id of a batch job that a percent-encoded path holds.

    :raises ParameterError: when no batch job can have it.
    """
    return check_job_id("job id", unquote(path))


def check_header(name: str, text: str) -> None:
    """
    Check the value of a header that is passed on unchanged.

    :raises ParameterError: when it can't be, since it is no text.
    """
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise ParameterError(name, text, "text in UTF-8") from error


def check_target(target: str) -> None:
    """
    Check the path and query of a request that is passed on unchanged.

    :raises ParameterError: when they can't be, since they have a fragment or
        bytes that are not text.
    """
    if "#" in target or not target.isprintable():
        raise ParameterError("path", target, "a path with a query")
