"""What selectors can be about, and the fields of each."""

from __future__ import annotations

import attrs


@attrs.frozen
class Scope:
    """One kind of subject: its fields and the prefixes of its labels."""

    name: str
    fields: frozenset[str]
    labels: tuple[str, ...]

    def knows(self, field: str) -> bool:
        """Return whether a selector of this scope may name the field."""
        if field in self.fields:
            return True
        return any(
            field.startswith(prefix) and len(field) > len(prefix)
            for prefix in self.labels
        )


ENGINE = Scope(
    "an engine",
    frozenset(
        {
            "name",
            "region",
            "failure_domain",
            "model",
            "version",
            "model_version",
            "adapter",
        }
    ),
    ("labels.", "model.labels.", "adapter.labels."),
)
SERVED = Scope(
    "a model version or adapter",
    frozenset({"name", "model", "version", "model_version", "adapter"}),
    ("model.labels.", "adapter.labels."),
)
WORK = Scope(
    "work",
    frozenset({"customer", "model", "adapter", "class"}),
    ("labels.", "customer.labels."),
)
