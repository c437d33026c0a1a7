"""``aspenbridge job``: submit, watch, cancel, results."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ._client import KEY_VARIABLE, ApiClient, RefusedError, UnreachableError
from ._exit_codes import DONE, FAILED, REFUSED, UNREACHABLE

if TYPE_CHECKING:
    from cleo.ui.progress_bar import ProgressBar

WATCH_INTERVAL_S = 0.5
ENDED = frozenset({"completed", "cancelled"})
DEFAULT_URL = "http://127.0.0.1:8080"
OPTIONS = (
    option("url", "u", "URLs of hosts, with commas.", flag=False, default=DEFAULT_URL),
    option("key", "k", f"API key; {KEY_VARIABLE} when not given.", flag=False),
    option("json", None, "Print JSON."),
)


class ApiCommand(Command):
    """A command that calls a fleet."""

    options: ClassVar = [*OPTIONS]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        from aspenbridge.loop import run_on_loop

        try:
            return run_on_loop(self._run())
        except RefusedError as error:
            self._fail(str(error), error.problem)
            return REFUSED
        except (UnreachableError, OSError) as error:
            self._fail(str(error), {"detail": str(error)})
            return UNREACHABLE

    async def _run(self) -> int:
        async with ApiClient(self.option("url"), self.option("key")) as client:
            return await self.use(client)

    async def use(self, client: ApiClient) -> int:
        """Do the command's work and return its exit code."""
        raise NotImplementedError

    def show(self, value: dict[str, Any], text: str) -> None:
        """Print a value as JSON, or the text that stands for it."""
        self.line(json.dumps(value) if self.option("json") else text)

    def _fail(self, text: str, value: dict[str, Any]) -> None:
        self.line_error(json.dumps(value) if self.option("json") else text)


class JobSubmitCommand(ApiCommand):
    """Upload a file of items and start a batch job."""

    name = "job submit"
    description = "Upload a file of items and start a batch job."
    arguments: ClassVar = [argument("file", "JSON lines, one item each.")]
    options: ClassVar = [
        *OPTIONS,
        option("window", "w", "Time until it is due.", flag=False, default="24h"),
        option("idempotency-key", "i", "Names this submission.", flag=False),
        option("label", "l", "Label as name=value.", flag=False, multiple=True),
    ]

    async def use(self, client: ApiClient) -> int:
        """Submit the job and print its id."""
        content = Path(self.argument("file")).read_bytes()
        file = json.loads(await client.call("POST", "/v1/files", content))
        order = {
            "input_file_id": file["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": self.option("window"),
            "metadata": dict(part.partition("=")[::2] for part in self.option("label")),
        }
        key = self.option("idempotency-key")
        headers = {"idempotency_key": key} if key else {}
        job = await client.json("POST", "/v1/batches", order, **headers)
        self.show(job, job["id"])
        return DONE


class JobWatchCommand(ApiCommand):
    """Show how far a job is until it has ended."""

    name = "job watch"
    description = "Show how far a job is until it has ended."
    arguments: ClassVar = [argument("job", "Id of the job.")]

    async def use(self, client: ApiClient) -> int:
        """Watch the job; fail unless each item has a good result."""
        path = f"/v1/batches/{self.argument('job')}"
        job = await client.json("GET", path)
        bar = self._bar(job)
        while job["status"] not in ENDED:
            await asyncio.sleep(WATCH_INTERVAL_S)
            job = await client.json("GET", path)
            if bar is not None:
                bar.set_progress(_counted(job))
        if bar is not None:
            bar.set_progress(_counted(job))
            self.line_error("")
        counts = job["request_counts"]
        text = f"{job['status']}: {counts['completed']} done, {counts['failed']} failed"
        self.show(job, text)
        good = job["status"] == "completed" and not counts["failed"]
        return DONE if good else FAILED

    def _bar(self, job: dict[str, Any]) -> ProgressBar | None:
        if self.option("json"):
            return None
        bar: ProgressBar = self.progress_bar(job["request_counts"]["total"])
        bar.start()
        return bar


class JobCancelCommand(ApiCommand):
    """Stop a job; results that count stay readable."""

    name = "job cancel"
    description = "Stop a job; results that count stay readable."
    arguments: ClassVar = [argument("job", "Id of the job.")]

    async def use(self, client: ApiClient) -> int:
        """Cancel the job."""
        path = f"/v1/batches/{self.argument('job')}/cancel"
        job = await client.json("POST", path)
        self.show(job, job["status"])
        return DONE


class JobResultsCommand(ApiCommand):
    """Print a job's results as JSON lines."""

    name = "job results"
    description = "Print a job's results as JSON lines."
    arguments: ClassVar = [argument("job", "Id of the job.")]
    options: ClassVar = [
        *OPTIONS,
        option("output", "o", "File to write instead.", flag=False),
    ]

    async def use(self, client: ApiClient) -> int:
        """Fetch the results."""
        path = f"/v1/batches/{self.argument('job')}/results"
        body = await client.call("GET", path)
        output = self.option("output")
        if output:
            Path(output).write_bytes(body)
            return DONE
        sys.stdout.write(body.decode())
        return DONE


def _counted(job: dict[str, Any]) -> int:
    counts = job["request_counts"]
    return int(counts["completed"] + counts["failed"])
