"""Generates the reference page of the settings."""

from __future__ import annotations

from typing import Any

import attrs

from ._definitions import Settings


def reference_page() -> str:
    """Return a Markdown page with a table of keys for each section."""
    lines = ["# Settings", "", "Made by `aspenbridge check-config --reference`."]
    for section in attrs.fields(Settings):
        section_class: Any = type(section.default)
        lines += ["", f"## [{section.name}]", "", section_class.__doc__ or "", ""]
        lines += ["| key | default | meaning |", "| --- | --- | --- |"]
        lines += [_row(field) for field in attrs.fields(section_class)]
    return "\n".join(lines) + "\n"


def _row(field: attrs.Attribute[object]) -> str:
    choices = field.metadata["choices"]
    meaning = field.metadata["description"]
    if choices:
        meaning += f" One of {', '.join(f'`{choice}`' for choice in choices)}."
    default = str(field.default)
    if isinstance(field.default, bool):
        default = default.lower()
    default_cell = f"`{default}`" if default else "none"
    return f"| `{field.name}` | {default_cell} | {meaning} |"
