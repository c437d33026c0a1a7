"""The report of the demo."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class DemoRow:
    """The count, latencies and check result of one kind of work."""

    what: str
    count: int
    latencies_s: tuple[float, ...]
    passed: bool

    def quantile_ms(self, quantile: float) -> float:
        """Return a latency quantile in milliseconds; 0 without samples."""
        if not self.latencies_s:
            return 0.0
        sorted_latencies_s = sorted(self.latencies_s)
        index = min(
            len(sorted_latencies_s) - 1, int(quantile * len(sorted_latencies_s))
        )
        return round(sorted_latencies_s[index] * 1000, 2)

    def cells(self) -> list[str]:
        """Return the texts of the printed row."""
        passed_text = "yes" if self.passed else "NO"
        p50, p99 = self.quantile_ms(0.50), self.quantile_ms(0.99)
        return [self.what, str(self.count), str(p50), str(p99), passed_text]


@attrs.frozen
class DemoReport:
    """The rows of all kinds of work."""

    rows: tuple[DemoRow, ...]

    @property
    def passed(self) -> bool:
        """Whether the checks of all rows passed."""
        return all(row.passed for row in self.rows)

    def as_dict(self) -> dict[str, Any]:
        """Return the report as plain values, for JSON output."""
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
