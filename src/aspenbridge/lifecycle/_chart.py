"""Loads a flat state chart with sismic and answers what may follow what."""

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
    """A chart file is not valid, or an event does not fit a state."""


@attrs.frozen
class Chart:
    """A checked chart: for each state the state that an event leads to."""

    name: str
    initial: str
    steps: Mapping[tuple[str, str], str]
    final: frozenset[str]

    def after(self, state: str, event: str) -> str:
        """
        Return the state that follows.

        :raises ChartError: when the event is not allowed in the state.
        """
        following = self.steps.get((state, event))
        if following is None:
            raise ChartError(f"{self.name}: {event!r} is not allowed in {state!r}")
        return following

    def allows(self, state: str, event: str) -> bool:
        """Return whether the event is allowed in the state."""
        return (state, event) in self.steps


def load_chart(name: str) -> Chart:
    """
    Load one of the charts that stand beside this module.

    :param name: the file's name without its ending.
    :raises ChartError: when the file is not a valid flat chart.
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
        steps=_steps(statechart, path.name),
        final=_final(statechart),
    )


def _steps(statechart: Any, file: str) -> dict[tuple[str, str], str]:
    steps: dict[tuple[str, str], str] = {}
    for transition in statechart.transitions:
        place = (transition.source, transition.event)
        if transition.event is None or transition.guard or transition.action:
            raise ChartError(f"{file}: {transition} is more than an event")
        if place in steps:
            raise ChartError(f"{file}: {place} leads to two states")
        steps[place] = transition.target or transition.source
    return steps


def _final(statechart: Any) -> frozenset[str]:
    states = (statechart.state_for(name) for name in statechart.states)
    named = [state for state in states if isinstance(state, BasicState | FinalState)]
    leaving = {transition.source for transition in statechart.transitions}
    return frozenset(state.name for state in named if state.name not in leaving)
