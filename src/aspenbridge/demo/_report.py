"""What the demo reports."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class DemoRow:
    """One kind of work: how often, how fast, and whether it was right."""

    what: str
    count: int
    latencies_s: tuple[float, ...]
    passed: bool

    def quantile_ms(self, quantile: float) -> float:
        """Return a latency quantile in milliseconds; 0 without samples."""
        if not self.latencies_s:
            return 0.0
        ordered = sorted(self.latencies_s)
        place = min(len(ordered) - 1, int(quantile * len(ordered)))
        return round(ordered[place] * 1000, 2)

    def cells(self) -> list[str]:
        """Return the row as it is printed."""
        expected = "yes" if self.passed else "NO"
        p50, p99 = self.quantile_ms(0.50), self.quantile_ms(0.99)
        return [self.what, str(self.count), str(p50), str(p99), expected]


@attrs.frozen
class DemoReport:
    """All rows of the demo."""

    rows: tuple[DemoRow, ...]

    @property
    def passed(self) -> bool:
        """Whether each row was as expected."""
        return all(row.passed for row in self.rows)

    def as_dict(self) -> dict[str, Any]:
        """Return the report for programs."""
        rows = [
            {
                "what": row.what,
                "count": row.count,
                "p50_ms": row.quantile_ms(0.50),
                "p99_ms": row.quantile_ms(0.99),
                "passed": row.passed,
            }
            for row in self.rows
        ]
        return {"passed": self.passed, "rows": rows}
