"""Hypothesis searches for an order of events that breaks a promise."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.fuzz import actions
from tests.fuzz.history import History

choices = st.integers(min_value=0, max_value=7)
steps_s = st.sampled_from(actions.STEPS_S)


def _one_of(*kinds: actions.Action) -> st.SearchStrategy[actions.Action]:
    return st.sampled_from(kinds)


class Promises(RuleBasedStateMachine):
    """Callers, operators and faults in any order; the end is checked."""

    history: History | None = None

    @initialize(hosts=st.sampled_from((3, 4)), seed=st.integers(1, 50))
    def begin(self, hosts: int, seed: int) -> None:
        self.history = History(seed, hosts)

    def act(self, action: actions.Action, choice: int, duration_s: float) -> None:
        action(self.history, random.Random(choice))
        self.history.advance(duration_s)

    @rule(
        action=_one_of(actions.coding, actions.other_body, actions.chat),
        choice=choices,
        duration_s=steps_s,
    )
    def send_request(self, action, choice, duration_s) -> None:
        self.act(action, choice, duration_s)

    @rule(choice=choices, duration_s=steps_s)
    def send_booking(self, choice, duration_s) -> None:
        self.act(actions.booking, choice, duration_s)

    @rule(
        action=_one_of(actions.job, actions.cancel), choice=choices, duration_s=steps_s
    )
    def submit_or_cancel_job(self, action, choice, duration_s) -> None:
        self.act(action, choice, duration_s)

    @rule(
        action=_one_of(actions.change, actions.recall),
        choice=choices,
        duration_s=steps_s,
    )
    def change_configuration(self, action, choice, duration_s) -> None:
        self.act(action, choice, duration_s)

    @rule(
        action=_one_of(actions.kill, actions.replace, actions.pause, actions.resume),
        choice=choices,
        duration_s=steps_s,
    )
    def disturb_host(self, action, choice, duration_s) -> None:
        self.act(action, choice, duration_s)

    @rule(
        action=_one_of(
            actions.store_down,
            actions.store_slow,
            actions.lost_replies,
            actions.store_healed,
            actions.store_cut,
        ),
        choice=choices,
        duration_s=steps_s,
    )
    def disturb_store(self, action, choice, duration_s) -> None:
        self.act(action, choice, duration_s)

    @rule(
        action=_one_of(actions.peers_cut, actions.engine_crash, actions.service_faults),
        choice=choices,
        duration_s=steps_s,
    )
    def disturb_connections(self, action, choice, duration_s) -> None:
        self.act(action, choice, duration_s)

    def teardown(self) -> None:
        if self.history is None:
            return
        try:
            violations = self.history.finish()
        finally:
            self.history.close()
        assert violations == []


Promises.TestCase.settings = settings(
    max_examples=8,
    stateful_step_count=24,
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),  # each shrink takes minutes
    print_blob=False,
    suppress_health_check=list(HealthCheck),
)


class TestPromises(Promises.TestCase):
    """Runs the same eight examples each time."""
