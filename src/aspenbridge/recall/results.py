"""Completed results of recalled versions or adapters, and their re-run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.batch import (
    ChunkRecord,
    Files,
    Item,
    JobRecord,
    Jobs,
    Outcome,
    input_name,
    job_key,
)
from aspenbridge.online import CodingRecord
from aspenbridge.result_codes import Problem, ResultCode
from aspenbridge.store import decode_record

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.configuration import View
    from aspenbridge.ports import Clock, ObjectStore, TableService
    from aspenbridge.store import Store

PAGE_ROWS = 1_000
RERUN_WINDOW_S = 86_400.0


@attrs.frozen
class AffectedItems:
    """Items of one batch job whose recorded results a recall affects."""

    job_id: str
    customer: str
    custom_ids: tuple[str, ...]


@attrs.frozen
class AffectedPage:
    """
    A page of affected batch items, or of the ids of affected coding requests.

    ``after`` is the key after which the next page starts, or None at the end.
    """

    items: tuple[AffectedItems, ...]
    requests: tuple[str, ...]
    after: str | None


@attrs.frozen
class Rerun:
    """The job that runs the affected items of another job again."""

    job_id: str
    rerun_job_id: str
    items: int


class RecalledResults:
    """Finds completed work that a recall affects, and runs it again."""

    def __init__(
        self,
        view: View,
        table: TableService,
        store: Store,
        objects: ObjectStore,
        files: Files,
        jobs: Jobs,
        clock: Clock,
    ) -> None:
        self._view = view
        self._table = table
        self._store = store
        self._objects = objects
        self._files = files
        self._jobs = jobs
        self._clock = clock

    async def batch_page(
        self, recall: str, after: str = ""
    ) -> Result[AffectedPage, Problem]:
        """
        Return the affected batch items among the next ``PAGE_ROWS`` chunks.

        :param after: the ``after`` of the previous page, or "" for the first.
        :return: the page, or a problem if the store is unavailable.
        """
        scanned = await self._table.scan("chunks", "", after=after, limit=PAGE_ROWS)
        if isinstance(scanned, Failure):
            return Failure(_unavailable(scanned.failure().reason))
        page = scanned.unwrap()
        chunks = (decode_record(row.value, ChunkRecord) for row in page.rows)
        affected: dict[str, list[str]] = {}
        for chunk in chunks:
            custom_ids = await self._affected_custom_ids(recall, chunk)
            if isinstance(custom_ids, Failure):
                return custom_ids
            if custom_ids.unwrap():
                affected.setdefault(chunk.job_id, []).extend(custom_ids.unwrap())
        items = []
        for job_id, job_custom_ids in affected.items():
            job = await self._read_job(job_id)
            if isinstance(job, Failure):
                return job
            customer = job.unwrap().customer
            items.append(AffectedItems(job_id, customer, tuple(job_custom_ids)))
        return Success(AffectedPage(tuple(items), (), page.after))

    async def coding_page(
        self, recall: str, after: str = ""
    ) -> Result[AffectedPage, Problem]:
        """
        Return the affected ones of the next ``PAGE_ROWS`` coding requests.

        :param after: the ``after`` of the previous page, or "" for the first.
        :return: the page, or a problem if the store is unavailable.
        """
        scanned = await self._table.scan("requests", "", after=after, limit=PAGE_ROWS)
        if isinstance(scanned, Failure):
            return Failure(_unavailable(scanned.failure().reason))
        page = scanned.unwrap()
        covers = self._covers(recall)
        records = (decode_record(row.value, CodingRecord) for row in page.rows)
        requests = [record.request_id for record in records if covers(record.served_by)]
        return Success(AffectedPage((), tuple(requests), page.after))

    async def rerun(self, recall: str, job_id: str) -> Result[Rerun, Problem]:
        """
        Create a job that runs the affected items of a job again.

        A second call for the same recall and job returns a conflict and
        creates no job. The file of items that it uploads remains.
        """
        read = await self._read_job(job_id)
        if isinstance(read, Failure):
            return read
        job = read.unwrap()
        items = await self._affected_items(recall, job)
        if isinstance(items, Failure):
            return items
        if not items.unwrap():
            detail = f"recall {recall!r} affects no result of job {job_id!r}"
            return Failure(Problem(ResultCode.NOT_FOUND, detail))
        body = b"\n".join(
            msgspec.json.encode(_input_line(item)) for item in items.unwrap()
        )
        file = await self._files.upload(job.customer, body)
        if isinstance(file, Failure):
            return file
        labels = {**job.labels, "rerun_of": job_id, "recall": recall}
        due_wall_s = self._clock.wall_s() + RERUN_WINDOW_S
        key = f"recall/{recall}/{job_id}"
        submitted = await self._jobs.submit(file.unwrap(), key, due_wall_s, labels)
        return submitted.map(
            lambda rerun_job: Rerun(job_id, rerun_job.job_id, len(items.unwrap()))
        )

    def _covers(self, recall: str) -> Callable[[tuple[str, ...]], bool]:
        placement = self._view.placement
        return lambda served_by: any(
            placement.covers(recall, served) for served in served_by
        )

    async def _affected_custom_ids(
        self, recall: str, chunk: ChunkRecord
    ) -> Result[list[str], Problem]:
        covers = self._covers(recall)
        affected: list[str] = []
        for segment in chunk.segments:
            if not covers(segment.served_by):
                continue
            read = await self._read_object(segment.name)
            if isinstance(read, Failure):
                return read
            outcomes = msgspec.json.decode(read.unwrap(), type=list[Outcome])
            affected.extend(
                outcome.custom_id for outcome in outcomes if covers(outcome.served_by)
            )
        return Success(affected)

    async def _affected_items(
        self, recall: str, job: JobRecord
    ) -> Result[list[Item], Problem]:
        chunks = await self._jobs.chunks(job.job_id)
        if isinstance(chunks, Failure):
            return chunks
        items: list[Item] = []
        for stored in chunks.unwrap():
            affected = await self._affected_custom_ids(recall, stored.record)
            if isinstance(affected, Failure):
                return affected
            affected_ids = set(affected.unwrap())
            if not affected_ids:
                continue
            read = await self._read_object(
                input_name(job.file_id, stored.record.number)
            )
            if isinstance(read, Failure):
                return read
            chunk_items = msgspec.json.decode(read.unwrap(), type=list[Item])
            items.extend(item for item in chunk_items if item.custom_id in affected_ids)
        return Success(items)

    async def _read_job(self, job_id: str) -> Result[JobRecord, Problem]:
        read = await self._store.get(job_key(job_id), JobRecord)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        stored = read.unwrap()
        if stored is None:
            detail = f"there is no job {job_id!r}"
            return Failure(Problem(ResultCode.NOT_FOUND, detail))
        return Success(stored.record)

    async def _read_object(self, name: str) -> Result[bytes, Problem]:
        read = await self._objects.get(name)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        body = read.unwrap()
        if body is None:
            return Failure(_unavailable(f"object {name!r} is missing"))
        return Success(body)


def _input_line(item: Item) -> dict[str, object]:
    message = {"role": "user", "content": item.prompt}
    body = {"model": item.model, "messages": [message], "max_tokens": item.max_tokens}
    if item.adapter is not None:
        body["adapter"] = item.adapter
    return {"custom_id": item.custom_id, "body": body}


def _unavailable(reason: str) -> Problem:
    return Problem(ResultCode.STORE_UNAVAILABLE, f"the store is unavailable: {reason}")


__all__ = ["AffectedItems", "AffectedPage", "RecalledResults", "Rerun"]
