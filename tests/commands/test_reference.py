"""Tests that the reference pages are those that the program prints."""

from __future__ import annotations

from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from aspenbridge.commands import application

PAGES = Path(__file__).parents[2] / "docs" / "reference"


@pytest.mark.parametrize(
    ("option", "page"),
    [("--reference", "settings.md"), ("--codes", "result-codes.md")],
)
def test_reference_page_is_current_when(option, page) -> None:
    tester = CommandTester(application().find("check-config"))
    assert tester.execute(option) == 0
    assert tester.io.fetch_output() == (PAGES / page).read_text(), (
        f"docs/reference/{page} is old: run aspenbridge check-config {option} > it"
    )


def test_check_names_file_section_and_key_when_a_value_is_wrong(tmp_path) -> None:
    path = tmp_path / "host.ini"
    path.write_text("[listen]\nhttp_port = many\n[nothing]\n")
    tester = CommandTester(application().find("check-config"))
    assert tester.execute(f"--config {path}") == 3
    errors = tester.io.fetch_error()
    assert f"{path}: listen.http_port: 'many' is not a whole number" in errors
    assert f"{path}: nothing: unknown section" in errors
