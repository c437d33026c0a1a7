"""The index gives the same matches as a full evaluation."""

from __future__ import annotations

import random

from aspenbridge.selectors import ENGINE, SelectorIndex, parse_selector

SELECTORS = ("region = a", "not region = a", "labels.x = 1 and region = b", "engine-3")


def _random_subject(rng, name):
    return {
        "name": frozenset({name}),
        "region": frozenset({rng.choice("ab")}),
        "labels.x": frozenset({rng.choice("12")}),
    }


def test_index_agrees_with_full_evaluation_when_objects_and_selectors_change() -> None:
    rng = random.Random(7)
    index, subjects, selectors = SelectorIndex(), {}, {}
    for _ in range(500):
        name, key = f"engine-{rng.randrange(6)}", f"rule-{rng.randrange(3)}"
        match rng.randrange(4):
            case 0 | 1:
                subjects[name] = _random_subject(rng, name)
                index.put_object(name, subjects[name])
            case 2:
                selectors[key] = parse_selector(rng.choice(SELECTORS), ENGINE).unwrap()
                index.put_selector(key, selectors[key])
            case _:
                subjects.pop(name, None)
                index.drop_object(name)
        for key, selector in selectors.items():
            expected = {
                name for name, subject in subjects.items() if selector.matches(subject)
            }
            assert index.matched_names(key) == expected


def test_only_the_changed_object_is_evaluated_when_a_label_changes() -> None:
    rng = random.Random(7)
    index = SelectorIndex()
    for number in range(100):
        name = f"engine-{number}"
        index.put_object(name, _random_subject(rng, name))
    for number, text in enumerate(SELECTORS):
        index.put_selector(str(number), parse_selector(text, ENGINE).unwrap())
    before = index.evaluations
    index.put_object("engine-5", {"region": frozenset({"c"})})
    assert index.evaluations - before == len(SELECTORS)
