"""A caller that opens a connection for each attempt and never resends."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import attrs

from .engine import ATTEMPT_ID

if TYPE_CHECKING:
    from .fleet import Host

CONNECT_LIMIT_S = 1.0
NO_ANSWER = 0  # in place of a status, when the connection ends without one


@attrs.frozen
class Answer:
    """A status and a body; ``whole`` tells whether the body was complete."""

    status: int
    body: bytes = b""
    whole: bool = True

    def json(self) -> Any:
        """Return the fields of a JSON body."""
        return json.loads(self.body)


async def call(
    host: Host,
    method: str,
    target: str,
    *,
    request_id: str = "",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    limit_s: float = 5.0,
    gap_s: float | None = None,
) -> Answer:
    """
    Send one attempt and return its answer.

    :param gap_s: how long no data may come before the caller abandons it.
    """
    ip, _, port = host.callers.partition(":")
    sent = {"Host": "a.example", "Content-Length": str(len(body))}
    if request_id:
        sent[ATTEMPT_ID] = request_id
    sent["Connection"] = "close"
    sent |= headers or {}
    head = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
    try:
        async with asyncio.timeout(CONNECT_LIMIT_S):
            reader, writer = await asyncio.open_connection(ip, int(port))
    except (OSError, TimeoutError):
        return Answer(NO_ANSWER, whole=False)
    try:
        writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
        async with asyncio.timeout(limit_s):
            return await _read(reader, gap_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(NO_ANSWER, whole=False)
    finally:
        writer.close()


async def _read(reader: asyncio.StreamReader, gap_s: float | None) -> Answer:
    async with asyncio.timeout(gap_s):
        head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
    status = int(first.split(" ")[1])
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return Answer(status, await reader.readexactly(int(fields["content-length"])))
    body = b""
    try:
        while True:
            async with asyncio.timeout(gap_s):
                size = int(await reader.readuntil(b"\r\n"), 16)
                if not size:
                    break
                body += (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, TimeoutError):
        return Answer(status, body, whole=False)
    return Answer(status, body)


def job_body(ids: list[str], path: str) -> bytes:
    """Return the body that submits a batch job with these items."""
    items = [
        {
            "id": item_id,
            "path": f"{path}{item_id}",
            "headers": {
                "X-Aspenbridge-Model": "m",
                "X-Aspenbridge-Token-Count": "350,250",
                "X-Aspenbridge-Prefix-Hash": f"a1:100,{item_id}:250",
            },
            "body": "cXVlc3Rpb24=",
            "tokens": 600,
        }
        for item_id in ids
    ]
    return json.dumps({"requests": items}).encode()


async def read_results(hosts: list[Host], job_id: str) -> list[dict[str, Any]]:
    """Read all results of a job from the start, at any host that answers."""
    results: list[dict[str, Any]] = []
    while True:
        for host in hosts:
            answer = await call(host, "GET", f"/lots/{job_id}?after={len(results)}")
            if answer.status == 200:
                break
        else:
            return results
        page = answer.json()["results"]
        results += page
        if not page or len(results) == answer.json()["total"]:
            return results
