"""Validates uploaded batch files and stores them as chunks of items."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.result_codes import Problem, ProblemError, ResultCode
from aspenbridge.store import Changes
from aspenbridge.work import new_id

from ._records import FileRecord, Item, file_key, input_name

if TYPE_CHECKING:
    from random import Random

    from aspenbridge.ports import ObjectStore
    from aspenbridge.settings import BatchSettings
    from aspenbridge.store import Store

DEFAULT_MAX_TOKENS = 64


class Files:
    """Stores batch files and reads their records."""

    def __init__(
        self,
        store: Store,
        objects: ObjectStore,
        random: Random,
        settings: BatchSettings,
        max_item_bytes: int,
    ) -> None:
        self._store = store
        self._objects = objects
        self._random = random
        self._settings = settings
        self._max_item_bytes = max_item_bytes

    async def upload(self, customer: str, body: bytes) -> Result[FileRecord, Problem]:
        """
        Validate a file and store it as chunks.

        :param body: JSON lines, one item per line; empty lines are ignored.
        """
        try:
            items = self._parse_items(body)
        except ProblemError as error:
            return Failure(error.problem)
        chunk_items = self._settings.chunk_items
        chunks = [
            items[start : start + chunk_items]
            for start in range(0, len(items), chunk_items)
        ]
        record = FileRecord(
            file_id=new_id("file", self._random),
            customer=customer,
            items=len(items),
            chunks=len(chunks),
            size_bytes=len(body),
            chunk_items=chunk_items,
        )
        for number, chunk in enumerate(chunks):
            name = input_name(record.file_id, number)
            stored = await self._objects.put(name, msgspec.json.encode(chunk))
            if isinstance(stored, Failure):
                return Failure(_unavailable(stored.failure().reason))
        key = file_key(record.file_id)
        result = await self._store.commit(Changes().absent(key).put(key, record))
        if isinstance(result, Failure):
            return Failure(_unavailable("the file could not be recorded"))
        return Success(record)

    async def read(self, customer: str, file_id: str) -> Result[FileRecord, Problem]:
        """Return the record of a customer's file."""
        read = await self._store.get(file_key(file_id), FileRecord)
        if isinstance(read, Failure):
            return Failure(_unavailable(read.failure().reason))
        stored = read.unwrap()
        if stored is None or stored.record.customer != customer:
            detail = f"there is no file {file_id!r}"
            return Failure(Problem(ResultCode.NOT_FOUND, detail))
        return Success(stored.record)

    def _parse_items(self, body: bytes) -> list[Item]:
        seen_ids: set[str] = set()
        items = []
        for line_number, line in enumerate(body.splitlines(), start=1):
            if not line.strip():
                continue
            item = self._parse_item(line_number, line)
            if item.custom_id in seen_ids:
                detail = (
                    f"line {line_number}: custom_id {item.custom_id!r} is a duplicate"
                )
                raise Problem(ResultCode.DUPLICATE_CUSTOM_ID, detail).error()
            seen_ids.add(item.custom_id)
            items.append(item)
        if not items:
            raise Problem(ResultCode.MALFORMED_BODY, "the file has no items").error()
        return items

    def _parse_item(self, line_number: int, line: bytes) -> Item:
        if len(line) > self._max_item_bytes:
            detail = f"line {line_number} has {len(line)} bytes"
            raise Problem(ResultCode.TOO_LARGE, detail).error()
        try:
            entry = msgspec.json.decode(line)
            return _item_from_entry(entry)
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            detail = f"line {line_number}: {error}"
            raise Problem(ResultCode.MALFORMED_BODY, detail).error() from error


def _item_from_entry(entry: dict[str, Any]) -> Item:
    body = entry["body"]
    messages = body["messages"]
    prompt = "\n".join(str(message["content"]) for message in messages)
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise ValueError(f"max_tokens is {max_tokens!r}")
    return Item(
        custom_id=str(entry["custom_id"]),
        model=str(body["model"]),
        prompt=prompt,
        max_tokens=max_tokens,
        adapter=body.get("adapter"),
    )


def _unavailable(reason: str) -> Problem:
    return Problem(ResultCode.STORE_UNAVAILABLE, f"the store is unavailable: {reason}")
