"""Callers that send online requests, submit jobs and read their results."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING, Any

import aiohttp

from ._engines import ATTEMPT_ID_HEADER
from ._oracle import SentJob

if TYPE_CHECKING:
    from random import Random

    from ._hosts import HostProcess
    from ._oracle import Oracle

DEADLINE_MS = 4000  # of each call, from when it is sent
SUBMIT_ATTEMPTS = 6
READ_WAIT_MS = 500  # how long a host may wait for results before it responds
HEADERS = {"Host": "a.example", "X-Aspenbridge-Deadline-Ms": str(DEADLINE_MS)}
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

    @property
    def newest_version(self) -> int:
        """The configuration version that was written last."""
        return self.versions[-1]

    def _new_id(self, kind: str) -> str:
        self._number += 1
        return f"{kind}{self._number:x}-{self._random.randbytes(4).hex()}"

    def _random_host(self) -> HostProcess:
        return self._random.choice(self._hosts)

    async def send_requests_forever(self) -> None:
        """Send online requests until cancelled."""
        while True:
            await self._send_request(
                self._random.choice(("/free/", "/once/", "/seen/"))
            )
            await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def _send_request(self, prefix: str) -> None:
        request_id = self._new_id("r")
        version = self._random.choice(self.versions[-3:])
        path = f"/v{version}/" if prefix == "/seen/" else prefix
        path += request_id
        await self._send(path, request_id, prefix, version)

    async def send_crashing_request(self, path: str) -> None:
        """Send a request that crashes engines, under a new id."""
        await self._send(path, self._new_id("c"), "/free/", self.newest_version)

    async def _send(
        self, path: str, request_id: str, prefix: str, version: int
    ) -> None:
        if prefix == "/once/":
            self._oracle.run_once_ids.add(request_id)
        host = self._random_host()
        incarnation = f"{host.name}.{host.incarnation}"
        self._oracle.host_by_request[request_id] = host.name
        newest_served = self._oracle.newest_served.get(incarnation, 0)
        body = path.encode()
        try:
            status, events = await self._post(host, path, request_id, body)
        except CONNECTION_ERRORS:
            self._oracle.response_counts["no whole answer"] += 1
            return
        if prefix == "/seen/" and host.incarnation == int(incarnation.split(".")[1]):
            self._oracle.check_version(
                incarnation, version, status, newest_served, self.newest_version
            )
        if status == 200:
            self._oracle.check_response(path, body, events)
        elif status in (429, 503):
            self._oracle.response_counts["refused"] += 1
            self._oracle.refused_ids.add(request_id)

    async def _post(
        self, host: HostProcess, path: str, request_id: str, body: bytes
    ) -> tuple[int, list[str]]:
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000)
        async with self._session.post(
            host.url + path,
            data=body,
            headers=HEADERS | {ATTEMPT_ID_HEADER: request_id},
            timeout=timeout,
        ) as response:
            text = (await response.read()).decode()
        lines = text.splitlines()
        return response.status, [
            line.removeprefix("data: ") for line in lines if line.startswith("data: ")
        ]

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
        job = SentJob(self._new_id("j"), items)
        self._oracle.jobs[job.job_id] = job
        requests = [
            {
                "id": item_id,
                "path": path,
                "headers": {},
                "body": base64.b64encode(body).decode(),
                "tokens": 10,
            }
            for item_id, (path, body) in items.items()
        ]
        statuses = []
        for _ in range(SUBMIT_ATTEMPTS):
            statuses.append(await self._submit_once(job, requests))
            if statuses[-1] == 202:
                job.accepted = True
                return
            await asyncio.sleep(self._random.uniform(0.1, 0.6))
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
        if response.status == 404:
            self._oracle.add_violation(
                "nothing is lost", f"{job.job_id} at {host.name}: 404"
            )
        if response.status != 200:
            return False
        self._oracle.check_page(job, first, json.loads(body))
        return True
