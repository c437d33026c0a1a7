"""Tells what a change would match before it is applied."""

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

CUSTOMERS_AT_ONCE = 200
NAMES_SHOWN = 100


@attrs.frozen
class Matches:
    """What one selector of a change matches now."""

    kind: str
    name: str
    field: str
    selector: str
    count: int
    names: tuple[str, ...]


@attrs.frozen
class _Sample:
    customer: str
    model: str
    online: bool
    adapter: str | None = None
    labels: dict[str, str] = attrs.field(factory=dict)


class DryRun:
    """Evaluates a change's selectors on the view, applying nothing."""

    def __init__(self, view: View) -> None:
        self._view = view

    async def check(
        self,
        put: Sequence[ConfigObject],
        removed: Sequence[tuple[str, str]],
    ) -> Result[tuple[Matches, ...], Problem]:
        """Return what a change matches, or why it would be refused."""
        fault = find_problem(put, removed)
        if fault is not None:
            return Failure(fault)
        matches: list[Matches] = []
        for item in put:
            matches.extend(await self._matches(item))
        return Success(tuple(matches))

    async def _matches(self, item: ConfigObject) -> list[Matches]:
        served = self._view.placement.matching_served
        engines = self._view.placement.matching_engines
        match msgspec.convert(item.spec, type=spec_class(item.kind)):
            case DrainSpec(engines=text):
                names = engines(parse_selector(text, ENGINE).unwrap())
                return [_matches(item, "engines", text, names)]
            case RecallSpec(selector=text):
                names = served(parse_selector(text, SERVED).unwrap())
                return [_matches(item, "selector", text, names)]
            case SelectorSpec(work=work, engines=text):
                selector = parse_selector(work, WORK).unwrap()
                customers = await self._customers(selector)
                names = engines(parse_selector(text, ENGINE).unwrap())
                return [
                    _matches(item, "work", work, customers),
                    _matches(item, "engines", text, names),
                ]
            case _:
                return []

    async def _customers(self, selector: Selector) -> list[str]:
        """Return the customers some of whose unlabelled work matches."""
        found = []
        for number, customer in enumerate(self._view.all_of("customer")):
            if number % CUSTOMERS_AT_ONCE == 0:
                await asyncio.sleep(0)
            if any(selector.matches(item) for item in self._samples(customer)):
                found.append(customer.name)
        return found

    def _samples(self, customer: ConfigObject) -> Iterator[Subject]:
        for model in sorted(self._view.models()):
            for online in (True, False):
                yield work_subject(_Sample(customer.name, model, online), customer)


def _matches(item: ConfigObject, field: str, text: str, names: list[str]) -> Matches:
    shown = tuple(sorted(names)[:NAMES_SHOWN])
    return Matches(item.kind, item.name, field, text, len(names), shown)
