"""The kept index chooses as a look at all engines does, after any history."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from aspenbridge.fleet import (
    Candidate,
    EngineDirectory,
    EngineHealth,
    EngineView,
    LoadView,
    place_online,
)
from tests.fleet.test_decisions import ManualClock
from tests.fleet.test_load_sums import ENGINES, PlainView, apply_step, load_steps
from tests.support.entry_fleet import make_engine

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b"}
DELAYS_S = {"a-1": 0.0, "a-2": 0.004, "b-1": 0.12}
SERVICES = ["llm", "other"]
engines = st.sampled_from(ENGINES)
engine_entries = st.builds(
    make_engine,
    engines,
    service=st.sampled_from(SERVICES),
    failure_domain=st.sampled_from(sorted(REGIONS)),
    slots=st.integers(1, 6),
    draining=st.booleans(),
)
engine_steps = st.one_of(
    engine_entries.map(lambda entry: ("put", entry)),
    engines.map(lambda name: ("remove", name)),
    engines.map(lambda name: ("mark_leaving", name, 1)),
    st.just(("store_recovered",)),
)
health_steps = st.tuples(
    st.sampled_from(["record_unreachable", "record_refusal", "record_answer"]), engines
)
histories = st.lists(
    st.one_of(
        load_steps.map(lambda step: ("load", step)),
        engine_steps.map(lambda step: ("engines", step)),
        health_steps.map(lambda step: ("health", step)),
    ),
    max_size=40,
)


@given(histories, st.sets(engines, max_size=2), st.sampled_from([0.0, 0.2]))
def test_choice_and_free_slots_are_those_of_a_look_at_all_engines(
    history, exclude, wait_budget_s
):
    clock = ManualClock()
    directory, health = EngineDirectory(clock), EngineHealth(clock)
    load_view, plain = LoadView(clock), PlainView(clock)
    view = EngineView(directory, load_view, health, "a-1", REGIONS)
    for name in ENGINES:
        directory.put(make_engine(name, slots=4))
    for part, step in history:
        if part == "load":
            apply_step(step, clock, load_view, plain)
        else:
            method, *arguments = step
            getattr(directory if part == "engines" else health, method)(*arguments)
        assert view.overfull() == {
            engine.id
            for engine in directory.registered()
            if plain.load(engine.id).total > engine.slots
        }
        for service in SERVICES:
            candidates = [
                Candidate(
                    engine, load.online, load.batch, DELAYS_S[engine.failure_domain]
                )
                for engine in directory.usable(service)
                if engine.id not in exclude and not health.is_paused(engine.id)
                for load in [plain.load(engine.id)]
            ]
            placed = view.place(service, wait_budget_s, exclude=exclude)
            assert placed == place_online(candidates, wait_budget_s)
            free = {
                engine.id: max(engine.slots - 1, 1) - plain.load(engine.id).total
                for engine in directory.usable(service)
            }
            kept = {name: count for name, count in free.items() if count > 0}
            assert view.free_slots(service) == kept
