"""The kinds of subjects that selectors match, with their fields."""

from __future__ import annotations

import attrs


@attrs.frozen
class Scope:
    """A kind of subject: its built-in fields, and prefixes of label fields."""

    name: str
    fields: frozenset[str]
    label_prefixes: tuple[str, ...]

    def has_field(self, field: str) -> bool:
        """Return whether selectors of this scope may name the field."""
        if field in self.fields:
            return True
        return any(
            field.startswith(prefix) and len(field) > len(prefix)
            for prefix in self.label_prefixes
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
