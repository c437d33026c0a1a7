"""
The older program before crowds of callers that do not behave.

Whatever they send, the host lives, its memory and descriptors are bounded,
and it answers an ordinary request, also one beside the crowd.
"""

from __future__ import annotations

import asyncio
import logging
import os
import sys

import pytest

from tests.platform.test_endless_answers import run
from tests.support.crowds import (
    PIECE_BYTES,
    Behaviour,
    Watch,
    chunk,
    crowd,
    head,
    send_all,
    send_ordinary,
    send_without_end,
)
from tests.support.processes import MODULE, Deployment

logger = logging.getLogger(__name__)
FILE_BYTES = 8_000_000
BODY_BYTES = 1_000_000
MESSAGE_BYTES = 16_000_000
MEMORY_MB = 256
DESCRIPTORS = 600
RESERVED_DESCRIPTORS = 100
CALLERS = 64
CONNECTIONS = 600
TROUBLE_S = 2.0
KEY = "Authorization: Bearer ann.secret\r\n"
TEXT = b'{"model":"coder","messages":[{"role":"user","content":"q"}],"max_tokens":2}'


class SmallDeployment(Deployment):
    """Its hosts take small files."""

    def settings(self, name: str, http_port: int, peer_port: int) -> str:
        text = super().settings(name, http_port, peer_port)
        return text.replace("[platform]", f"max_file_bytes = {FILE_BYTES}\n[platform]")


def chat():
    return head("/v1/chat/completions", f"{KEY}Content-Length: {len(TEXT)}\r\n") + TEXT


def short(path, length, lines=""):
    async def send(sock):
        request = head(path, f"{lines}Content-Length: {length}\r\n")
        await send_all(sock, request + b"x" * (length - 1))

    return send


def endless(path, lines=""):
    async def send(sock):
        await send_all(sock, head(path, f"{lines}Transfer-Encoding: chunked\r\n"))
        await send_without_end(sock, chunk(PIECE_BYTES))

    return send


async def idle(sock):
    pass


async def head_a_byte_short(sock):
    await send_all(sock, head("/v1/models", f"X: {'y' * 15_000}\r\n")[:-1])


BODIES = {
    "http": (
        Behaviour("bodies a byte short", short("/v1/chat/completions", BODY_BYTES)),
        Behaviour("files a byte short", short("/v1/files", FILE_BYTES, KEY)),
        Behaviour("files far over, sent", endless("/v1/files", KEY)),
        Behaviour("bodies far over, sent", endless("/v1/chat/completions")),
    ),
    "peer": (
        Behaviour("messages a byte short", short("/peer", MESSAGE_BYTES)),
        Behaviour("messages far over, sent", endless("/peer")),
    ),
}
OPEN = (Behaviour("idle", idle), Behaviour("heads a byte short", head_a_byte_short))


async def check_crowd(directory, port, behaviour, callers):
    with SmallDeployment(directory) as deployment:
        process, http_port = await asyncio.to_thread(start_host, deployment)
        await asyncio.to_thread(deployment.configure, http_port)
        host, _, peer_port = deployment.peers[0].partition(":")
        target = {"http": (host, http_port), "peer": (host, int(peer_port))}[port]
        async with Watch(process.pid) as watch:
            async with crowd(target, behaviour, callers):
                await asyncio.sleep(TROUBLE_S)
                beside = await send_ordinary((host, http_port), chat)
            after = await send_ordinary((host, http_port), chat)
            assert process.poll() is None
            found = (watch.peak_memory_mb, watch.most_descriptors, beside, after)
    logger.info("%s, %s: %s", port, behaviour, found)
    assert found[0] < MEMORY_MB
    assert found[1] < DESCRIPTORS - RESERVED_DESCRIPTORS
    assert found[2:] == (200, 200)


def start_host(deployment):
    """Start a host with a limit of its own on descriptors."""
    command = (
        sys.executable,
        "-c",
        "import os, resource, sys;"
        f"resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS}, {DESCRIPTORS}));"
        "os.execv(sys.argv[1], sys.argv[1:])",
        *MODULE,
    )
    return deployment.host("host", command, dict(os.environ))


CASES = [(port, behaviour) for port, group in BODIES.items() for behaviour in group]


@pytest.mark.parametrize(("port", "behaviour"), CASES, ids=str)
def test_older_program_holds_bounded_bytes_of_large_bodies(tmp_path, port, behaviour):
    run(check_crowd(tmp_path, port, behaviour, CALLERS))


@pytest.mark.parametrize("port", BODIES)
@pytest.mark.parametrize("behaviour", OPEN, ids=str)
def test_older_program_keeps_descriptors_beside_connections(tmp_path, port, behaviour):
    run(check_crowd(tmp_path, port, behaviour, CONNECTIONS))
