from __future__ import annotations

import msgspec

from aspenbridge.fleet import CrashNotices
from aspenbridge.fleet._exchange import LoadReport

NOTICES = CrashNotices(crashes=(("f", ("e0", 1, 0), 0.5, False, True),))


class OlderReport(msgspec.Struct, frozen=True, array_like=True):
    """The report of a build that knows no notices."""

    host: str
    sequence: int
    engines: list[tuple[str, int, int]]
    waiting_items: int
    due_wall_s: float
    beat_age_s: float


def test_hosts_of_builds_with_and_without_notices_read_each_others_reports():
    fields = ("h", 1, [("e0", 2, 3)], 4, 5.0, 0.5)
    older = msgspec.msgpack.encode(OlderReport(*fields))
    newer = msgspec.msgpack.encode(LoadReport(*fields, NOTICES))
    read = msgspec.msgpack.decode(older, type=LoadReport)
    assert read == LoadReport(*fields, CrashNotices())
    assert msgspec.msgpack.decode(newer, type=OlderReport) == OlderReport(*fields)
    assert msgspec.msgpack.decode(newer, type=LoadReport).notices == NOTICES
