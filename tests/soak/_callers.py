"""Callers: online requests, batch jobs and readers of their results."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING, Any

import aiohttp

from ._engines import ID
from ._promises import SentJob

if TYPE_CHECKING:
    from random import Random

    from ._hosts import HostProcess
    from ._promises import Promises

DEADLINE_MS = 4000
SUBMIT_TRIES = 6
READ_WAIT_MS = 500
HEADERS = {"Host": "a.example", "X-Aspenbridge-Deadline-Ms": str(DEADLINE_MS)}
FAILED = (aiohttp.ClientError, TimeoutError, OSError)


class Callers:
    """Sends to hosts chosen at random and notes what they are told."""

    def __init__(
        self,
        hosts: list[HostProcess],
        promises: Promises,
        random: Random,
        session: aiohttp.ClientSession,
    ) -> None:
        self._hosts = hosts
        self._promises = promises
        self._random = random
        self._session = session
        self._number = 0
        self.versions: list[int] = []

    @property
    def newest_version(self) -> int:
        """The version that was written last."""
        return self.versions[-1]

    def _id(self, kind: str) -> str:
        self._number += 1
        return f"{kind}{self._number:x}-{self._random.randbytes(4).hex()}"

    def _host(self) -> HostProcess:
        return self._random.choice(self._hosts)

    async def ask_forever(self) -> None:
        """Send online requests until cancelled."""
        while True:
            await self._ask(self._random.choice(("/free/", "/once/", "/seen/")))
            await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def _ask(self, prefix: str) -> None:
        request_id = self._id("r")
        version = self._random.choice(self.versions[-3:])
        path = f"/v{version}/" if prefix == "/seen/" else prefix
        path += request_id
        if prefix == "/once/":
            self._promises.once.add(request_id)
        host = self._host()
        incarnation = f"{host.name}.{host.incarnation}"
        self._promises.sent_to[request_id] = host.name
        seen = self._promises.newest_seen.get(incarnation, 0)
        body = request_id.encode()
        try:
            status, events = await self._send(host, path, request_id, body)
        except FAILED:
            self._promises.answers["no whole answer"] += 1
            return
        if prefix == "/seen/" and host.incarnation == int(incarnation.split(".")[1]):
            self._promises.check_version(
                incarnation, version, status, seen, self.newest_version
            )
        if status == 200:
            self._promises.check_answer(path, body, events)
        elif status in (429, 503):
            self._promises.answers["refused"] += 1
            self._promises.refused.add(request_id)

    async def _send(
        self, host: HostProcess, path: str, request_id: str, body: bytes
    ) -> tuple[int, list[str]]:
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000)
        async with self._session.post(
            host.url + path,
            data=body,
            headers=HEADERS | {ID: request_id},
            timeout=timeout,
        ) as response:
            text = (await response.read()).decode()
        lines = text.splitlines()
        return response.status, [
            line.removeprefix("data: ") for line in lines if line.startswith("data: ")
        ]

    async def submit_forever(self, pause_s: float) -> None:
        """Submit batch jobs until cancelled."""
        while True:
            await self._submit()
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))

    async def _submit(self) -> None:
        items = {}
        for _ in range(self._random.randint(2, 5)):
            item_id = self._id("i")
            items[item_id] = f"/batch/{item_id}", item_id.encode()
        job = SentJob(self._id("j"), items)
        self._promises.jobs[job.job_id] = job
        listed = [
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
        for _ in range(SUBMIT_TRIES):
            statuses.append(await self._submit_once(job, listed))
            if statuses[-1] == 202:
                job.accepted = True
                return
            await asyncio.sleep(self._random.uniform(0.1, 0.6))
        job.refused = all(status in (429, 503) for status in statuses)

    async def _submit_once(self, job: SentJob, listed: list[dict[str, Any]]) -> int:
        try:
            async with self._session.post(
                self._host().url + "/batch/",
                data=json.dumps({"requests": listed}),
                headers=HEADERS | {ID: job.job_id, "Connection": "close"},
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
            ) as response:
                await response.read()
                return response.status
        except FAILED:
            return 0  # it may have been accepted

    async def read_forever(self) -> None:
        """Read results of accepted jobs until cancelled."""
        while True:
            jobs = [job for job in self._promises.jobs.values() if job.accepted]
            if jobs:
                await self.read(self._random.choice(jobs), self._host())
            await asyncio.sleep(0.1)

    async def read(self, job: SentJob, host: HostProcess) -> bool:
        """Read a job from a position on; tell if the host gave an answer."""
        first = self._random.choice((0, len(job.results)))
        try:
            async with self._session.get(
                f"{host.url}/lots/{job.job_id}?after={first}",
                headers=HEADERS | {"X-Aspenbridge-Wait-Ms": str(READ_WAIT_MS)},
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
            ) as response:
                body = await response.read()
        except FAILED:
            return False
        if response.status == 404:
            self._promises.blame("nothing is lost", f"{job.job_id} at {host.name}: 404")
        if response.status != 200:
            return False
        self._promises.check_page(job, first, json.loads(body))
        return True
