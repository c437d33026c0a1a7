"""Open-loop online load and closed-loop batch load, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs

from aspenbridge.online import Generation
from aspenbridge.result_codes import ProblemError
from aspenbridge.work import Work
from tests.trials.fleet import MODEL, TrialFleet
from tests.trials.network import CLIENT_DELAY_S

ONLINE_PROMPT_TOKENS = 100
ONLINE_TOKENS = 40
BATCH_PROMPT_TOKENS = 100
BATCH_TOKENS = 120


@attrs.frozen
class Answer:
    """
    The answer to one online request, as its caller received it.

    :ivar first_s: when the first chunk arrived; 0.0 if none did.
    :ivar longest_gap_s: the longest time between two chunks.
    :ivar failure: the name of the problem's code; empty for a success.
    """

    customer: str
    arrived_s: float
    first_s: float
    end_s: float
    tokens: int
    longest_gap_s: float
    failure: str = ""
    cached_tokens: int = 0
    prompt_tokens: int = 0

    @property
    def ok(self) -> bool:
        return not self.failure


@attrs.define
class Recorder:
    """
    Records the answers to online requests and the progress of batch items.

    :ivar batch_tokens: the tokens generated for batch items, by customer.
    :ivar revocations: how often slots were revoked from items that completed
        later.
    """

    answers: list[Answer] = attrs.field(factory=list)
    batch_tokens: Counter = attrs.field(factory=Counter)
    batch_done: int = 0
    revocations: int = 0

    def successful(self, after_s=0.0, before_s=1e18, customer=None) -> list[Answer]:
        """Return the successful answers to requests sent in a time range."""
        return [
            item
            for item in self.answers
            if item.ok
            and after_s <= item.arrived_s < before_s
            and customer in (None, item.customer)
        ]


def ttft_s(answers: list[Answer]) -> list[float]:
    """Return each time to the first token, delays to the caller included."""
    return [
        answer.first_s - answer.arrived_s + 2 * CLIENT_DELAY_S for answer in answers
    ]


def percentile(values: list[float], fraction: float) -> float:
    """Return the value at a fraction from 0.0 to 1.0; -1 without values."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else -1
    )


def prompt(rng: random.Random, tokens: int, prefix: str = "") -> str:
    words = [f"w{rng.getrandbits(20):x}" for _ in range(tokens)]
    return f"{prefix} {' '.join(words)}".strip()


class Load:
    """Callers of a fleet; each online request goes to a random live host."""

    def __init__(self, fleet: TrialFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self._batch_random = random.Random(seed + 1)
        self.recorder = Recorder()
        self._tasks: set[asyncio.Task] = set()

    async def online(self, rate, seconds, customers=("a",), weights=None) -> None:
        """
        Start requests with Poisson arrivals for a number of seconds.

        :param rate: requests per second, of all customers together.
        """
        clock = self.fleet.clock
        end_s = clock.now_s() + seconds
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            if clock.now_s() >= end_s:
                return
            customer = self.random.choices(customers, weights)[0]
            text = prompt(self.random, ONLINE_PROMPT_TOKENS)
            self.start(self.send_online(customer, text))

    def start(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def send_online(
        self, customer, text, host=None, tokens=ONLINE_TOKENS
    ) -> Answer:
        """Run one online request; record and return its answer."""
        clock = self.fleet.clock
        start_s = clock.now_s()
        host = host or self.random.choice(self.fleet.hosts)
        work = Work(f"w{start_s}", customer, MODEL, text, tokens, True, start_s + 30.0)
        generation = Generation(work)
        first_s = last_s = longest_gap_s = 0.0
        failure = ""
        try:
            async for _ in host.generator.run(generation):
                now_s = clock.now_s()
                first_s = first_s or now_s
                longest_gap_s = max(longest_gap_s, now_s - last_s) if last_s else 0.0
                last_s = now_s
        except ProblemError as error:
            failure = error.problem.code.name
        answer = Answer(
            customer,
            start_s,
            first_s,
            clock.now_s(),
            generation.tokens,
            longest_gap_s,
            failure,
            generation.cached_tokens,
            work.prompt_tokens,
        )
        self.recorder.answers.append(answer)
        return answer

    def batch(self, per_host=40, customers=("batch-a",)) -> None:
        """Keep ``per_host`` batch items in progress on every host."""
        for host in self.fleet.hosts:
            for number in range(per_host):
                customer = customers[number % len(customers)]
                host.tasks.append(self.start(self._batch_caller(host, customer)))

    async def _batch_caller(self, host, customer) -> None:
        while True:
            text = prompt(self._batch_random, BATCH_PROMPT_TOKENS)
            now_s = self.fleet.clock.now_s()
            work = Work("b", customer, MODEL, text, BATCH_TOKENS, False, now_s + 9e3)
            generation = Generation(work)
            try:
                async for chunk in host.generator.run(generation):
                    self.recorder.batch_tokens[customer] += chunk.tokens
                self.recorder.batch_done += 1
                self.recorder.revocations += generation.revocations
            except ProblemError:
                await asyncio.sleep(0.5)
