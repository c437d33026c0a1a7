"""Callers that send online requests, submit jobs and read their results."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from typing import TYPE_CHECKING, Any

import aiohttp

from ._answers import CALM_PREFIX
from ._connections import (
    DEADLINE_HEADER,
    WRONG_HEADERS,
    CallerConnection,
    SentRequest,
    Style,
)
from ._engines import ATTEMPT_ID_HEADER, LARGE_NAME, PARTS_HEADER
from ._oracle import SentJob

if TYPE_CHECKING:
    from random import Random

    from ._hosts import HostProcess
    from ._oracle import Oracle

DEADLINE_MS = 4000  # of each call, from when it is sent
SUBMIT_ATTEMPTS = 6
ITEM_TOKENS = 10
FIRST_PART = "f0"
INNER_PARTS = ("a1", "b2", "c3")
REQUESTS_PER_CONNECTION = 10  # at most
CALM_INTERVAL_S = 0.25  # between two calm requests to a host
WRONG_SHARE = 0.03  # of all requests
READ_WAIT_MS = 500  # how long a host may wait for results before it responds
HEADERS = {"Host": "a.example", DEADLINE_HEADER: str(DEADLINE_MS)}
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class Callers:
    """
    Sends requests to random hosts and passes the responses to the oracle.

    :ivar versions: the configuration versions that were written, in order.
    """

    def __init__(
        self,
        hosts: list[HostProcess],
        oracle: Oracle,
        random: Random,
        session: aiohttp.ClientSession,
    ) -> None:
        self._hosts = hosts
        self._oracle = oracle
        self._random = random
        self._session = session
        self._number = 0
        self.versions: list[int] = []
        self.limit_tokens = 0  # that may wait on the batch route; 0: no limit

    def _new_id(self, kind: str) -> str:
        self._number += 1
        return f"{kind}{self._number:x}-{self._random.randbytes(4).hex()}"

    def _random_host(self) -> HostProcess:
        return self._random.choice(self._hosts)

    async def use_connections_forever(self) -> None:
        """Send online requests in all styles until cancelled."""
        while True:
            host, style = self._random_host(), self._random.choice(list(Style))
            limit = self._random.choice((1, REQUESTS_PER_CONNECTION))
            await self._use_connection(host, style, limit=limit)
            await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def send_calm_requests_forever(self, host: HostProcess) -> None:
        """Send requests to a host for an engine that has no faults."""
        while True:
            await self._use_connection(host, Style.PLAIN, CALM_PREFIX)
            await asyncio.sleep(CALM_INTERVAL_S)

    async def send_again(self, path: str) -> bool:
        """
        Send a request with a certain path under a new id.

        :return: whether it got a whole answer of an engine.
        """
        host = self._random_host()
        await self._use_connection(host, Style.PLAIN, "/free/", path)
        return path in self._oracle.answered_paths

    async def _use_connection(
        self,
        host: HostProcess,
        style: Style,
        prefix: str = "",
        path: str = "",
        *,
        limit: int = 1,
    ) -> None:
        """Send requests; empty prefixes and paths are drawn for each one."""
        connection = CallerConnection(
            host, style, DEADLINE_MS, self._random, self._oracle.record_head
        )
        count = 2 if style is Style.PAIR else 1
        try:
            async with connection:
                for _ in range(limit):
                    requests = [
                        self._new_request(host, style, prefix, path)
                        for _ in range(count)
                    ]
                    await self._exchange(connection, host, requests)
                    if not connection.usable:
                        return
                    await asyncio.sleep(self._random.uniform(0.0, 0.2))
        except OSError:
            return  # the host is down or paused

    def _new_request(
        self, host: HostProcess, style: Style, prefix: str, path: str
    ) -> SentRequest:
        seen = f"/v{self._random.choice(self.versions[-2:])}/"
        prefix = prefix or self._random.choice(("/free/", "/once/", seen))
        request_id = self._new_id("r")
        if prefix == "/once/":
            self._oracle.run_once_ids.add(request_id)
        self._oracle.record_sent(request_id, host.name)
        request = SentRequest(request_id, path, prefix, host.name, style)
        request.parts = self._draw_parts()
        if not path:
            request.path = prefix + LARGE_NAME * (style is Style.SLOW) + request_id
            if prefix != CALM_PREFIX and self._random.random() < WRONG_SHARE:
                request.wrong_headers = self._random.choice(WRONG_HEADERS)
        return request

    def _draw_parts(self) -> str:
        """Draw the parts that a prompt shares; the first is in many others."""
        inner = self._random.sample(INNER_PARTS, self._random.randint(0, 2))
        return "".join(f"{part}:20," for part in (FIRST_PART, *inner))

    async def send_part(self, part: str, path: str) -> None:
        """Send a new request with a part that crashes engines."""
        host = self._random_host()
        connection = CallerConnection(
            host, Style.PLAIN, DEADLINE_MS, self._random, self._oracle.record_head
        )
        request = self._new_request(host, Style.PLAIN, "/free/", path)
        parts = self._draw_parts().split(",")[:-1]
        parts.insert(self._random.randint(0, len(parts)), f"{part}:5")
        request.parts = "".join(f"{entry}," for entry in parts)
        with contextlib.suppress(OSError):  # the host is down or paused
            async with connection:
                await self._exchange(connection, host, [request])

    async def _exchange(
        self,
        connection: CallerConnection,
        host: HostProcess,
        requests: list[SentRequest],
    ) -> None:
        incarnation = host.incarnation_name
        newest_served = self._oracle.newest_served.get(incarnation, 0)
        await connection.exchange(*requests)
        for request in requests:
            self._oracle.record_answer(request)
            if host.incarnation_name == incarnation:
                self._oracle.check_version(
                    incarnation, request, newest_served, self.versions[-1]
                )

    async def submit_jobs_forever(self, interval_s: float) -> None:
        """Submit batch jobs until cancelled."""
        while True:
            await self._submit()
            await asyncio.sleep(interval_s * self._random.uniform(0.5, 1.5))

    async def _submit(self) -> None:
        items = {}
        for _ in range(self._random.randint(2, 5)):
            item_id = self._new_id("i")
            items[item_id] = f"/batch/{item_id}", item_id.encode()
        job = SentJob(self._new_id("j"), items, tokens=ITEM_TOKENS)
        self._oracle.jobs[job.job_id] = job
        requests = [
            {
                "id": item_id,
                "path": path,
                "headers": {PARTS_HEADER: f"{FIRST_PART}:20,{item_id}:10"},
                "body": base64.b64encode(body).decode(),
                "tokens": ITEM_TOKENS,
            }
            for item_id, (path, body) in items.items()
        ]
        statuses = []
        for _ in range(SUBMIT_ATTEMPTS):
            statuses.append(await self._submit_once(job, requests))
            if statuses[-1] == 202:
                job.accepted = True
                if self.limit_tokens:
                    self._oracle.check_waiting_tokens(self.limit_tokens)
                return
            await asyncio.sleep(self._random.uniform(0.1, 0.6))
        self._oracle.response_counts["jobs full"] += statuses[-1] == 429
        job.refused = all(status in (429, 503) for status in statuses)

    async def _submit_once(self, job: SentJob, requests: list[dict[str, Any]]) -> int:
        try:
            async with self._session.post(
                self._random_host().url + "/batch/",
                data=json.dumps({"requests": requests}),
                headers=HEADERS
                | {ATTEMPT_ID_HEADER: job.job_id, "Connection": "close"},
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
            ) as response:
                self._oracle.check_status(job.job_id, response.status, {})
                await response.read()
                return response.status
        except CONNECTION_ERRORS:
            return 0  # no complete response; the job may have been accepted

    async def read_results_forever(self) -> None:
        """Read results of accepted jobs until cancelled."""
        while True:
            jobs = [job for job in self._oracle.jobs.values() if job.accepted]
            if jobs:
                await self.read(self._random.choice(jobs), self._random_host())
            await asyncio.sleep(0.1)

    async def read(self, job: SentJob, host: HostProcess) -> bool:
        """
        Read a job's results at a host and pass them to the oracle.

        The read starts at position 0, or at the number of results read so far.

        :return: whether the host returned a page of results.
        """
        first = self._random.choice((0, len(job.results)))
        try:
            async with self._session.get(
                f"{host.url}/lots/{job.job_id}?after={first}",
                headers=HEADERS | {"X-Aspenbridge-Wait-Ms": str(READ_WAIT_MS)},
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
            ) as response:
                body = await response.read()
        except CONNECTION_ERRORS:
            return False
        self._oracle.check_status(job.job_id, response.status, {})
        if response.status == 404:
            self._oracle.add_violation(
                "nothing is lost", f"{job.job_id} at {host.name}: 404"
            )
        if response.status != 200:
            return False
        self._oracle.check_page(job, first, json.loads(body))
        return True
