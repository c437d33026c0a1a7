"""Messages between hosts over real sockets."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import capnp
import pytest

from aspenbridge.backends import open_session
from aspenbridge.clock import SystemClock
from aspenbridge.loop import run_on_loop
from aspenbridge.peers import Ack, MemberNews, Probe, ProbeReply, ProbeVia
from aspenbridge.peers._codec import decode_message, encode_message
from aspenbridge.peers.transport import HttpPeers, PeerServer
from aspenbridge.ports import PeerAddress, PeerUnreachableError
from tests.support.processes import free_ports

NEWS = MemberNews("h-1", "127.0.0.1:1", "live", "r", "d", 7, 3)
CALLS = 300
TIMEOUT_S = 20.0
PROBE = Probe(NEWS, (NEWS, NEWS), 5, 0.5)


class ProbeHandler:
    """Answers probes, but never replies to a ``ProbeVia``."""

    async def handle(self, message):
        if isinstance(message, ProbeVia):
            await asyncio.Event().wait()
        return ProbeReply(message.sender, message.news, message.revision)


def over_sockets(scenario):
    results = []

    async def main() -> int:
        async with AsyncExitStack() as stack:
            session = await stack.enter_async_context(open_session())
            clock = SystemClock()
            addresses = [PeerAddress("127.0.0.1", port) for port in free_ports(2)]
            for address in addresses:
                await stack.enter_async_context(PeerServer(ProbeHandler(), address))
            peers = HttpPeers(session, clock)
            results.append(await scenario(peers, addresses, clock))
        return 0

    run_on_loop(main())
    return results[0]


@pytest.mark.parametrize(
    "message", [Probe(NEWS, (NEWS, NEWS), 5, 0.5), Ack(False, "x")]
)
def test_message_is_unchanged_when_it_was_encoded_and_decoded(message) -> None:
    assert decode_message(encode_message(message)) == message


def test_each_call_gets_its_own_reply_when_many_run_at_once() -> None:
    async def scenario(peers, addresses, clock):
        calls = (
            peers.call(
                addresses[number % 2],
                Probe(NEWS, (), number),
                clock.now_s() + TIMEOUT_S,
            )
            for number in range(CALLS)
        )
        return await asyncio.gather(*calls)

    replies = over_sockets(scenario)
    assert [reply.revision for reply in replies] == list(range(CALLS))


def test_error_says_that_nothing_was_sent_when_no_host_listens() -> None:
    async def scenario(peers, addresses, clock):
        unused = PeerAddress("127.0.0.1", free_ports(1)[0])
        with pytest.raises(PeerUnreachableError) as raised:
            await peers.call(unused, Probe(NEWS), clock.now_s() + TIMEOUT_S)
        return raised.value.sent

    assert over_sockets(scenario) is False


def test_next_call_succeeds_when_a_call_passed_its_deadline() -> None:
    async def scenario(peers, addresses, clock):
        with pytest.raises(PeerUnreachableError) as raised:
            await peers.call(addresses[0], ProbeVia("x"), clock.now_s() + 0.05)
        reply = await peers.call(addresses[0], Probe(NEWS), clock.now_s() + TIMEOUT_S)
        return raised.value.sent, reply

    sent, reply = over_sockets(scenario)
    assert sent is True
    assert reply == ProbeReply(NEWS)


@pytest.mark.parametrize("body", [b"", b"\xff" * 9, b"hello"])
def test_decode_raises_when_the_bytes_are_not_a_message(body) -> None:
    with pytest.raises((capnp.KjException, KeyError)):
        decode_message(body)
