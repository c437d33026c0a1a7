"""Evaluates what a configuration change would match, without applying it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.configuration import (
    ConfigObject,
    DrainSpec,
    RecallSpec,
    SelectorSpec,
    find_problem,
    spec_class,
    work_subject,
)
from aspenbridge.selectors import ENGINE, SERVED, WORK, parse_selector

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from aspenbridge.configuration import View
    from aspenbridge.result_codes import Problem
    from aspenbridge.selectors import Selector, Subject

CUSTOMERS_PER_LOOP_TURN = 200
MAX_NAMES_LISTED = 100


@attrs.frozen
class Matches:
    """What one selector of a change matches in the current configuration."""

    kind: str
    name: str
    field: str
    selector: str
    count: int
    names: tuple[str, ...]


@attrs.frozen
class _WorkSample:
    """Sample work of a customer, with the fields that selectors use."""

    customer: str
    model: str
    online: bool
    adapter: str | None = None
    labels: dict[str, str] = attrs.field(factory=dict)


class DryRun:
    """Evaluates a change's selectors on the current configuration."""

    def __init__(self, view: View) -> None:
        self._view = view

    async def check(
        self,
        put: Sequence[ConfigObject],
        removed: Sequence[tuple[str, str]],
    ) -> Result[tuple[Matches, ...], Problem]:
        """Return what each selector matches, or why the change is invalid."""
        problem = find_problem(put, removed)
        if problem is not None:
            return Failure(problem)
        matches: list[Matches] = []
        for item in put:
            matches.extend(await self._evaluate_selectors(item))
        return Success(tuple(matches))

    async def _evaluate_selectors(self, item: ConfigObject) -> list[Matches]:
        matching_served = self._view.placement.matching_served
        matching_engines = self._view.placement.matching_engines
        match msgspec.convert(item.spec, type=spec_class(item.kind)):
            case DrainSpec(engines=text):
                names = matching_engines(parse_selector(text, ENGINE).unwrap())
                return [_make_matches(item, "engines", text, names)]
            case RecallSpec(selector=text):
                names = matching_served(parse_selector(text, SERVED).unwrap())
                return [_make_matches(item, "selector", text, names)]
            case SelectorSpec(work=work, engines=text):
                selector = parse_selector(work, WORK).unwrap()
                customers = await self._matching_customers(selector)
                names = matching_engines(parse_selector(text, ENGINE).unwrap())
                return [
                    _make_matches(item, "work", work, customers),
                    _make_matches(item, "engines", text, names),
                ]
            case _:
                return []

    async def _matching_customers(self, selector: Selector) -> list[str]:
        """
        Return the names of the customers that have matching work.

        Work of each class on each model is tried, without adapter and labels.
        """
        names = []
        for number, customer in enumerate(self._view.all_of("customer")):
            if number % CUSTOMERS_PER_LOOP_TURN == 0:
                await asyncio.sleep(0)  # let other tasks run
            if any(selector.matches(work) for work in self._sample_work(customer)):
                names.append(customer.name)
        return names

    def _sample_work(self, customer: ConfigObject) -> Iterator[Subject]:
        for model in sorted(self._view.models()):
            for online in (True, False):
                yield work_subject(_WorkSample(customer.name, model, online), customer)


def _make_matches(
    item: ConfigObject, field: str, text: str, names: list[str]
) -> Matches:
    shown = tuple(sorted(names)[:MAX_NAMES_LISTED])
    return Matches(item.kind, item.name, field, text, len(names), shown)
