from __future__ import annotations

import pytest

from aspenbridge.platform._prompts import shared_prompt_parts

NAME = "X-Aspenbridge-Prefix-Hash"


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("5C1E07A2:800, 91bd3f06 :410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("5c1e07a2:800,5c1e07a2:800,e4402b7d:250", ("5c1e07a2",)),
        ("e4402b7d:250", ()),
        ("", ()),
        (",,:5,x", ()),
    ],
)
def test_all_parts_of_a_prompt_but_the_last_may_be_shared(value, parts):
    assert shared_prompt_parts((("Host", "a"), (NAME, value))) == parts


def test_parts_are_found_however_a_caller_writes_the_header():
    headers = ((NAME.lower(), "a:1"), (NAME.upper(), "b:2,c:3"))
    assert shared_prompt_parts(headers) == ("a", "b")


def test_request_without_the_header_shares_no_part():
    assert shared_prompt_parts((("Host", "a"),)) == ()
