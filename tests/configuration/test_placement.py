"""Drains, recalls and placement rules limit where work may run."""

from __future__ import annotations

import pytest

from aspenbridge.configuration import Change, ConfigObject, View
from aspenbridge.work import Work
from tests.support.control_fleet import customer, engine

BASE = (
    engine("e1", pool="day"),
    engine("e2", version="2", pool="night"),
    engine("e3", version="2", adapters=("tone@1",), pool="night"),
    customer("kgotso", tier="gold"),
    customer("lainaamo"),
    ConfigObject("model", "coder@2", {"model": "coder", "version": "2"}, {"lot": "b"}),
)


def work(name="kgotso", *, online=False, adapter=None, **labels):
    return Work("w", name, "coder", "p", 4, online, 9e9, adapter, labels)


def view_of(*objects):
    view = View()
    view.replace(1, [*BASE, *objects])
    return view


def eligible_names(view, piece):
    return [item.name for item in view.eligible_for(piece)]


def recall(selector, running="stop"):
    return ConfigObject("recall", "r", {"selector": selector, "running": running})


def drain(engines):
    return ConfigObject("drain", "d", {"engines": engines})


def rule(text, engines, name="rule"):
    return ConfigObject("placement", name, {"work": text, "engines": engines})


@pytest.mark.parametrize(
    ("objects", "piece", "expected"),
    [
        ([], work(), ["e1", "e2", "e3"]),
        ([], work(adapter="tone@1"), ["e3"]),
        ([rule("class = batch", "labels.pool = night")], work(), ["e2", "e3"]),
        (
            [rule("class = batch", "labels.pool = night")],
            work(online=True),
            ["e1", "e2", "e3"],
        ),
        ([rule("customer.labels.tier = gold", "e1")], work(), ["e1"]),
        (
            [rule("customer.labels.tier = gold", "e1")],
            work("lainaamo"),
            ["e1", "e2", "e3"],
        ),
        ([rule("labels.kind = summary", "e2")], work(kind="summary"), ["e2"]),
        (
            [rule("class = batch", "not e1", "a"), rule("model = coder", "e1", "b")],
            work(),
            [],
        ),
        (
            [drain("labels.pool = night")],
            work(),
            ["e1"],
        ),
        ([recall("coder@2")], work(), ["e1"]),
        (
            [recall("model.labels.lot = b")],
            work(),
            ["e1"],
        ),
        (
            [recall("tone@1")],
            work(),
            ["e1", "e2", "e3"],
        ),
        (
            [recall("adapter = tone@1")],
            work(adapter="tone@1"),
            [],
        ),
    ],
)
def test_work_runs_only_where_it_may_when(objects, piece, expected) -> None:
    assert eligible_names(view_of(*objects), piece) == expected


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"put": (rule("class = batch", "e1"),)}, ["e1"]),
        ({"removed": (("placement", "rule"),)}, ["e1", "e2", "e3"]),
        ({"put": (engine("e1", pool="night"),)}, ["e1", "e2", "e3"]),
        ({"put": (engine("e2", version="2", pool="day"),)}, ["e3"]),
        ({"removed": (("engine", "e2"),)}, ["e3"]),
    ],
)
def test_eligible_engines_follow_when_a_selector_or_label_changes(
    change, expected
) -> None:
    view = view_of(rule("class = batch", "labels.pool = night"))
    assert eligible_names(view, work()) == ["e2", "e3"]
    assert view.apply(Change(2, "x", 0.0, **change))
    assert eligible_names(view, work()) == expected


def test_rule_of_a_customer_label_follows_when_the_label_changes() -> None:
    view = view_of(rule("customer.labels.tier = gold", "e1"))
    assert eligible_names(view, work("lainaamo")) == ["e1", "e2", "e3"]
    view.apply(Change(2, "x", 0.0, put=(customer("lainaamo", tier="gold"),)))
    assert eligible_names(view, work("lainaamo")) == ["e1"]


def test_recall_by_label_follows_when_the_model_version_is_labelled() -> None:
    view = view_of(recall("model.labels.lot = c"))
    model = ConfigObject(
        "model", "coder@1", {"model": "coder", "version": "1"}, {"lot": "c"}
    )
    view.apply(Change(2, "x", 0.0, put=(model,)))
    assert eligible_names(view, work()) == ["e2", "e3"]


@pytest.mark.parametrize(
    ("item", "stops"),
    [
        (recall("coder@1"), True),
        (
            recall("coder@1", "finish"),
            False,
        ),
        (drain("e1"), False),
        (rule("class = batch", "not e1"), True),
        (rule("class = online", "not e1"), False),
    ],
)
def test_running_work_leaves_its_engine_when(item, stops) -> None:
    view = view_of(item)
    [engine_1] = [item for item in view.engines() if item.name == "e1"]
    assert view.must_stop(work(), engine_1) is stops
    assert bool(view.reasons_against(work(), engine_1)) is (
        eligible_names(view, work()) != ["e1", "e2", "e3"]
    )
