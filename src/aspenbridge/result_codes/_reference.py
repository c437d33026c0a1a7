"""Generates the reference page of the result codes."""

from __future__ import annotations

from ._codes import code_table


def codes_page() -> str:
    """Return a Markdown page with a table of all result codes."""
    lines = [
        "# Result codes",
        "",
        "Made by `aspenbridge check-config --codes`. Each problem carries `code`,",
        "`execution` and, where a retry may help, `retry_after_s`. The column",
        "execution is the usual value; a problem may say more than it.",
        "",
        "| code | name | HTTP status | meaning | execution |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {int(row.code)} | `{row.code.name}` | {row.status} | {row.title} "
        f"| {row.execution.value} |"
        for row in code_table().values()
    ]
    return "\n".join(lines) + "\n"
