"""Loads flat state charts with sismic and looks up their transitions."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
from sismic.exceptions import StatechartError
from sismic.io import import_from_yaml
from sismic.model import BasicState, FinalState

if TYPE_CHECKING:
    from collections.abc import Mapping


class ChartError(ValueError):
    """A chart file is invalid, or an event is not allowed in a state."""


@attrs.frozen
class Chart:
    """
    A validated state chart.

    :ivar initial: the state in which a new object starts.
    :ivar transitions: the target state by source state and event.
    :ivar final: the states that no transition leaves.
    """

    name: str
    initial: str
    transitions: Mapping[tuple[str, str], str]
    final: frozenset[str]

    def next_state(self, state: str, event: str) -> str:
        """
        Return the state that an event leads to.

        :raises ChartError: when the event is not allowed in the state.
        """
        target = self.transitions.get((state, event))
        if target is None:
            raise ChartError(f"{self.name}: {event!r} is not allowed in {state!r}")
        return target

    def allows(self, state: str, event: str) -> bool:
        """Return whether the event is allowed in the state."""
        return (state, event) in self.transitions


def load_chart(name: str) -> Chart:
    """
    Load one of the charts in this package.

    :param name: the file's name without the suffix ``.yaml``.
    :raises ChartError: when the file is not a valid flat state chart, in
        which each transition has an event and neither guard nor action.
    """
    path = Path(__file__).with_name(f"{name}.yaml")
    try:
        statechart = import_from_yaml(path.read_text(encoding="utf-8"))
    except StatechartError as error:
        raise ChartError(f"{path.name}: {error}") from error
    root = statechart.state_for(statechart.root)
    return Chart(
        name=name,
        initial=root.initial,
        transitions=_transitions(statechart, path.name),
        final=_final_states(statechart),
    )


def _transitions(statechart: Any, file: str) -> dict[tuple[str, str], str]:
    transitions: dict[tuple[str, str], str] = {}
    for transition in statechart.transitions:
        trigger = (transition.source, transition.event)
        if transition.event is None or transition.guard or transition.action:
            raise ChartError(
                f"{file}: {transition} needs an event, and no guard or action"
            )
        if trigger in transitions:
            raise ChartError(f"{file}: state and event {trigger} lead to two states")
        transitions[trigger] = transition.target or transition.source
    return transitions


def _final_states(statechart: Any) -> frozenset[str]:
    states = (statechart.state_for(name) for name in statechart.states)
    leaf_states = [
        state for state in states if isinstance(state, BasicState | FinalState)
    ]
    sources = {transition.source for transition in statechart.transitions}
    return frozenset(state.name for state in leaf_states if state.name not in sources)
