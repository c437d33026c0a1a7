"""No name of the platform stands outside its adapter."""

from __future__ import annotations

import re
from pathlib import Path

import aspenbridge
from aspenbridge.platform import _names

PACKAGE = Path(aspenbridge.__file__).parent
WIRE_FIELDS = (
    "routeKind",
    "maxAttempts",
    "latencyGoalMs",
    "timeoutMs",
    "gapTargetMs",
    "completionTargetMs",
    "retainS",
    "expectedRev",
    "setKeys",
    "tombstone",
    "hasMore",
    "waitMs",
    "coldLeftMs",
    "nextToken",
    "dead_letter",
    "non_idempotent",
    "portRange",
    "nodeName",
)
HEADERS_OF_HTTP = {"Retry-After", "Last-Event-Id"}


def wire_names() -> set[str]:
    texts = {value for value in vars(_names).values() if isinstance(value, str)}
    own = {t for t in texts if re.match(r"X-Aspenbridge|ASPENBRIDGE|/[a-z]+-[a-z]+", t)}
    return own | {"/lots/", "/items/", *WIRE_FIELDS}


def test_the_names_are_found_in_the_adapter():
    source = "".join(p.read_text() for p in (PACKAGE / "platform").glob("*.py"))
    unused = {name for name in wire_names() if name not in source}
    assert unused == set()


def test_no_name_of_the_wire_stands_outside_the_adapter():
    found = [
        f"{path.relative_to(PACKAGE)}: {name}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        for name in wire_names()
        if re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", path.read_text())
    ]
    assert found == []


def test_the_domain_does_not_import_the_adapter():
    importers = [
        path.relative_to(PACKAGE)
        for path in PACKAGE.rglob("*.py")
        if "aspenbridge.platform" in path.read_text()
    ]
    assert [path for path in importers if path.parts[0] != "platform"] == []
