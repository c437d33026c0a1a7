"""Parses INI text into settings and reports every error in it."""

from __future__ import annotations

import configparser
import re
from pathlib import Path
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from ._definitions import Settings

_TRUE_WORDS = ("true", "yes", "on", "1")
_FALSE_WORDS = ("false", "no", "off", "0")


@attrs.frozen
class SettingsError:
    """An error in a settings file; ``section`` and ``key`` may be empty."""

    file: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        location = ".".join(part for part in (self.section, self.key) if part)
        return f"{self.file}: {location}: {self.reason}"


def load_settings(path: str) -> Result[Settings, list[SettingsError]]:
    """
    Load the settings of a host from an INI file.

    :param path: the path of the file.
    :return: the settings, or every error in the file.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([SettingsError(path, "", "", str(error))])
    return parse_settings(text, path)


def parse_settings(
    text: str, file: str = "settings"
) -> Result[Settings, list[SettingsError]]:
    """
    Parse INI text.

    :param text: the text of the file.
    :param file: the file name shown in errors.
    :return: the settings, or every error in the text.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        reason = " ".join(str(error).split())
        return Failure([SettingsError(file, "", "", reason)])
    return _build_settings(parser, file)


def _build_settings(
    parser: configparser.ConfigParser, file: str
) -> Result[Settings, list[SettingsError]]:
    errors: list[SettingsError] = []
    sections = {field.name: field for field in attrs.fields(Settings)}
    for name in parser.sections():
        if name not in sections:
            errors.append(SettingsError(file, name, "", "unknown section"))
    values = {
        name: _build_section(parser, name, type(field.default), file, errors)
        for name, field in sections.items()
    }
    if errors:
        return Failure(errors)
    return Success(Settings(**values))


def _build_section(
    parser: configparser.ConfigParser,
    name: str,
    section_class: type,
    file: str,
    errors: list[SettingsError],
) -> Any:
    texts = dict(parser.items(name)) if parser.has_section(name) else {}
    fields = {field.name: field for field in attrs.fields(section_class)}
    values: dict[str, Any] = {}
    for key, text in texts.items():
        field = fields.get(key)
        if field is None:
            errors.append(SettingsError(file, name, key, "unknown key"))
            continue
        try:
            values[key] = _convert(text, field)
        except ValueError as error:
            errors.append(SettingsError(file, name, key, str(error)))
    return section_class(**values)


def _convert(text: str, field: attrs.Attribute[Any]) -> Any:
    choices = field.metadata["choices"]
    if choices and text not in choices:
        raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
    pattern = field.metadata["pattern"]
    if pattern and not re.fullmatch(pattern, text):
        raise ValueError(f"{text!r} does not match {pattern}")
    if isinstance(field.default, bool):
        return _parse_boolean(text)
    if isinstance(field.default, str):
        return text
    return _parse_number(text, type(field.default))


def _parse_boolean(text: str) -> bool:
    lowered = text.lower()
    if lowered in _TRUE_WORDS:
        return True
    if lowered in _FALSE_WORDS:
        return False
    raise ValueError(f"{text!r} is neither true nor false")


def _parse_number(text: str, number_class: type) -> int | float:
    try:
        value: int | float = number_class(text)
    except ValueError:
        kind = "whole number" if number_class is int else "number"
        raise ValueError(f"{text!r} is not a {kind}") from None
    if not 0 <= value < float("inf"):
        raise ValueError(f"{text!r} is not a finite number of zero or more")
    return value
