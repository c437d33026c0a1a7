"""The ``aspenbridge job`` commands: submit, watch, cancel and results."""

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
END_STATUSES = frozenset({"completed", "cancelled"})
DEFAULT_URL = "http://127.0.0.1:8080"
API_OPTIONS = (
    option(
        "url",
        "u",
        "URLs of hosts, separated by commas.",
        flag=False,
        default=DEFAULT_URL,
    ),
    option("key", "k", f"API key; ${KEY_VARIABLE} if not given.", flag=False),
    option("json", None, "Print JSON."),
)


class ApiCommand(Command):
    """A command that calls the API of a fleet."""

    options: ClassVar = [*API_OPTIONS]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        from aspenbridge.loop import run_on_loop

        try:
            return run_on_loop(self._run())
        except RefusedError as error:
            self._print_error(str(error), error.problem)
            return REFUSED
        except (UnreachableError, OSError) as error:
            self._print_error(str(error), {"detail": str(error)})
            return UNREACHABLE

    async def _run(self) -> int:
        async with ApiClient(self.option("url"), self.option("key")) as client:
            return await self.perform(client)

    async def perform(self, client: ApiClient) -> int:
        """Make the calls of the command and return its exit code."""
        raise NotImplementedError

    def print_result(self, value: dict[str, Any], text: str) -> None:
        """Print the value with ``--json``, else the text."""
        self.line(json.dumps(value) if self.option("json") else text)

    def _print_error(self, text: str, value: dict[str, Any]) -> None:
        self.line_error(json.dumps(value) if self.option("json") else text)


class JobSubmitCommand(ApiCommand):
    """Upload a file of items and start a batch job."""

    name = "job submit"
    description = "Upload a file of items and start a batch job."
    arguments: ClassVar = [
        argument("file", "Input file: JSON lines with one item each.")
    ]
    options: ClassVar = [
        *API_OPTIONS,
        option(
            "window", "w", "Completion window of the job.", flag=False, default="24h"
        ),
        option(
            "idempotency-key",
            "i",
            "Idempotency key; a repeated submission returns the same job.",
            flag=False,
        ),
        option(
            "label", "l", "Label of the job as name=value.", flag=False, multiple=True
        ),
    ]

    async def perform(self, client: ApiClient) -> int:
        """Submit the job and print its id."""
        content = Path(self.argument("file")).read_bytes()
        file = json.loads(await client.call("POST", "/v1/files", content))
        submission = {
            "input_file_id": file["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": self.option("window"),
            "metadata": dict(
                label.partition("=")[::2] for label in self.option("label")
            ),
        }
        key = self.option("idempotency-key")
        headers = {"idempotency_key": key} if key else {}
        job = await client.json("POST", "/v1/batches", submission, **headers)
        self.print_result(job, job["id"])
        return DONE


class JobWatchCommand(ApiCommand):
    """Show the progress of a job until it ends."""

    name = "job watch"
    description = "Show the progress of a job until it ends."
    arguments: ClassVar = [argument("job", "Id of the job.")]

    async def perform(self, client: ApiClient) -> int:
        """Watch the job; fail unless it completes without failed items."""
        path = f"/v1/batches/{self.argument('job')}"
        job = await client.json("GET", path)
        bar = self._start_bar(job)
        while job["status"] not in END_STATUSES:
            await asyncio.sleep(WATCH_INTERVAL_S)
            job = await client.json("GET", path)
            if bar is not None:
                bar.set_progress(_finished_items(job))
        if bar is not None:
            bar.set_progress(_finished_items(job))
            self.line_error("")
        counts = job["request_counts"]
        text = f"{job['status']}: {counts['completed']} done, {counts['failed']} failed"
        self.print_result(job, text)
        succeeded = job["status"] == "completed" and not counts["failed"]
        return DONE if succeeded else FAILED

    def _start_bar(self, job: dict[str, Any]) -> ProgressBar | None:
        if self.option("json"):
            return None
        bar: ProgressBar = self.progress_bar(job["request_counts"]["total"])
        bar.start()
        return bar


class JobCancelCommand(ApiCommand):
    """Cancel a job; the results stored so far stay readable."""

    name = "job cancel"
    description = "Cancel a job; the results stored so far stay readable."
    arguments: ClassVar = [argument("job", "Id of the job.")]

    async def perform(self, client: ApiClient) -> int:
        """Cancel the job."""
        path = f"/v1/batches/{self.argument('job')}/cancel"
        job = await client.json("POST", path)
        self.print_result(job, job["status"])
        return DONE


class JobResultsCommand(ApiCommand):
    """Print a job's results as JSON lines."""

    name = "job results"
    description = "Print a job's results as JSON lines."
    arguments: ClassVar = [argument("job", "Id of the job.")]
    options: ClassVar = [
        *API_OPTIONS,
        option(
            "output",
            "o",
            "File to write the results to; standard output if not given.",
            flag=False,
        ),
    ]

    async def perform(self, client: ApiClient) -> int:
        """Fetch the results and write them to the file or standard output."""
        path = f"/v1/batches/{self.argument('job')}/results"
        body = await client.call("GET", path)
        output = self.option("output")
        if output:
            Path(output).write_bytes(body)
            return DONE
        sys.stdout.write(body.decode())
        return DONE


def _finished_items(job: dict[str, Any]) -> int:
    counts = job["request_counts"]
    return int(counts["completed"] + counts["failed"])
