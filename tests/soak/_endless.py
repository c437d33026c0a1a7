"""Sends bytes without end from an engine, within bounds of time and size."""

from __future__ import annotations

import asyncio
import time

from tests.support.endless_answers import BLOCK_BYTES, BODIES, FRAMINGS, HEADS, Endless

ENDLESS = (*HEADS, *FRAMINGS, *BODIES)
MAX_DURATION_S = 5.0
MAX_SENT_BYTES = 64 * 1024 * 1024
BUFFER_BYTES = 4 * BLOCK_BYTES  # that may wait in the transport
BUSY_INTERVAL_S = 0.005  # between two looks at a full buffer
SLOW_INTERVAL_S = 0.1  # between two blocks of a slow engine


async def send_without_end(
    transport: asyncio.Transport, answer: Endless, request_id: str, *, slow: bool
) -> None:
    """
    Send until the connection is closed, or a bound of time or bytes.

    :param slow: whether a block is sent in each ``SLOW_INTERVAL_S``.
    """
    block = answer.repeated * (BLOCK_BYTES // len(answer.repeated))
    until_s, sent_bytes = time.monotonic() + MAX_DURATION_S, 0
    transport.write(answer.first.replace(b"ID", request_id.encode(), 1))
    while time.monotonic() < until_s and not transport.is_closing():
        if sent_bytes > MAX_SENT_BYTES:
            return
        if transport.get_write_buffer_size() > BUFFER_BYTES:
            await asyncio.sleep(BUSY_INTERVAL_S)
            continue
        transport.write(block)
        sent_bytes += len(block)
        await asyncio.sleep(SLOW_INTERVAL_S if slow else 0)
