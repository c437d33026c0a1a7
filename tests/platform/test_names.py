"""Names on the wire appear only in the adapter to the platform."""

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
    "maxCount",
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
    "Server-Leaving",
)
STANDARD_HTTP_HEADERS = {"Retry-After", "Last-Event-Id"}


def wire_names() -> set[str]:
    values = {value for value in vars(_names).values() if isinstance(value, str)}
    platform_names = {
        t for t in values if re.match(r"X-Aspenbridge|ASPENBRIDGE|/[a-z]+-[a-z]+", t)
    }
    return platform_names | {"/lots/", "/items/", *WIRE_FIELDS}


def test_wire_names_are_used_in_the_adapter():
    source = "".join(p.read_text() for p in (PACKAGE / "platform").glob("*.py"))
    unused = {name for name in wire_names() if name not in source}
    assert unused == set()


def test_wire_names_are_not_used_outside_the_adapter():
    found = [
        f"{path.relative_to(PACKAGE)}: {name}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        for name in wire_names()
        if re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", path.read_text())
    ]
    assert found == []


def test_other_packages_do_not_import_the_adapter():
    importers = [
        path.relative_to(PACKAGE)
        for path in PACKAGE.rglob("*.py")
        if "aspenbridge.platform" in path.read_text()
    ]
    assert [path for path in importers if path.parts[0] != "platform"] == []
