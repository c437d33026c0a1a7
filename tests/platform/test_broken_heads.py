"""Answers whose heads are not HTTP, over real sockets."""

from __future__ import annotations

import asyncio
import json

import attrs
import pytest
from returns.result import Failure

from aspenbridge.backends import (
    HttpEngines,
    HttpHostList,
    HttpObjects,
    HttpServices,
    HttpTable,
    open_session,
)
from aspenbridge.clock import SystemClock
from aspenbridge.loop import NumericAddressLoop
from aspenbridge.peers import Ack
from aspenbridge.peers._codec import encode_message
from aspenbridge.peers.transport import HttpPeers
from aspenbridge.platform._connections import open_store_session
from aspenbridge.platform._store import StoreClient
from aspenbridge.ports import (
    CallOutcome,
    Engine,
    EngineFailure,
    EngineOrder,
    Generate,
    PeerAddress,
    PeerUnreachableError,
    Put,
    RowKey,
    ServiceCall,
    ServiceFailure,
    Transaction,
)
from tests.platform.test_answer_ends import (
    EVENTS,
    STREAM,
    TEXT,
    item_result,
    submit_item,
    with_host,
)
from tests.support.engine_scripts import (
    Answer,
    End,
    Framing,
    ScriptedEngine,
    stream_of,
)

TIMEOUT_S = 2.0
WHOLE = b"the body of an answer that is not a stream"
KINDS = {"text/event-stream": STREAM, "text/plain": WHOLE}
INTERIM = b"HTTP/1.1 103 Early Hints\r\n%b\r\n\r\n"
SOUND_EVENTS = Answer(events=EVENTS)


@attrs.frozen
class Head:
    """What is unusual about the head of an answer, or makes it invalid."""

    name: str
    first_lines: str = "HTTP/1.1 200 OK"
    headers: tuple[str, ...] = ()
    trailers: tuple[str, ...] = ()
    interim: bytes = b""
    framing: tuple[Framing, ...] = tuple(Framing)

    def answers(self, content_type: str) -> list[Answer]:
        """Return an answer with this head for each framing."""
        return [
            Answer(
                KINDS[content_type],
                framing,
                content_type=content_type,
                first_lines=self.first_lines,
                headers=self.headers,
                trailers=self.trailers,
                interim=self.interim,
            )
            for framing in self.framing
        ]


STATUSES = [
    Head(f"status {status}", f"HTTP/1.1 {status} Status")
    for status in ("000", "001", "020", "099", "101", "600", "999")
]
FIELDS = [
    Head("blank before the first name", "HTTP/1.1 200 OK\r\n X-Note: a"),
    Head("tab before the first name", "HTTP/1.1 200 OK\r\n\tX-Note: a"),
    Head("blank before a name", headers=(" X-Note: a",)),
    Head("blank in a name", headers=("X Note: a",)),
    Head("blank behind a name", headers=("X-Note : a",)),
    Head("line feed before the first name", "HTTP/1.1 200 OK\r\n\nX-Note: a"),
    Head("line feed before a name", headers=("\nX-Note: a",)),
    Head("return before a name", headers=("\rX-Note: a",)),
    *(
        Head(f"byte {ord(byte)} in a name", headers=(f"X{byte}Note: a",))
        for byte in "\x00\x01\t\n\r\x1f\x7f"
    ),
    Head("no name", headers=(": a",)),
    Head("no colon", headers=("X-Note",)),
    *(
        Head(f"byte {ord(byte)} in a value", headers=(f"X-Note: a{byte}b",))
        for byte in "\x00\x01\n\r\x1f\x7f"
    ),
    Head("two types", headers=("Content-Type: text/html",)),
    Head("folded value", headers=("X-Note: a\r\n b",)),
    Head("byte 1 in the reason", "HTTP/1.1 200 O\x01K"),
    Head("line feed ends the status line", "HTTP/1.1 200 OK\nX-Note: a"),
    Head(
        "blank behind the name of a length",
        headers=("Content-Length : 5",),
        framing=(Framing.NONE,),
    ),
    Head(
        "blank behind the name of a coding",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
        framing=(Framing.NONE,),
    ),
    Head("blank in an interim answer", interim=INTERIM % b" X-Note: a"),
    Head("byte 1 in an interim answer", interim=INTERIM % b"X-Note: \x01"),
    *(
        Head(f"trailer {line!r}", trailers=(line,), framing=(Framing.CHUNKS,))
        for line in (" X-Sum: 5", "X Sum: 5", "X\x01: 5", "X-Sum: \x01", "X-Sum")
    ),
]
CODINGS = [
    Head(
        f"coding {coding!r}",
        headers=(f"Transfer-Encoding: {coding}",),
        framing=(Framing.NONE,),
    )
    for coding in ("gzip", "identity", "xchunked", "chunked, gzip", "chunked;q=1", "")
]
LENGTHS = [
    Head(
        f"length {length!r}",
        headers=(f"Content-Length: {length}",),
        framing=(Framing.NONE,),
    )
    for length in ("+5", "-5", "5,5", "5 5", "0x5", "", "9" * 23)
] + [
    Head("second framing", headers=("Content-Length: 5",)),
]
BROKEN_HEADS = [*STATUSES, *FIELDS, *CODINGS, *LENGTHS]


async def play(run_case, heads, content_type="text/event-stream"):
    """Return each head with an answer of it that came out wrong, and how."""
    cases = [(head, answer) for head in heads for answer in head.answers(content_type)]
    results = await asyncio.gather(*(run_case(answer) for _, answer in cases))
    return [
        (head.name, answer.framing.value, result)
        for (head, answer), result in zip(cases, results, strict=True)
        if result is not None
    ]


# Guards against an answer that a caller can't read as one, and against the
# claim that its request has not run.
@pytest.mark.parametrize("content_type", KINDS)
def test_request_that_may_run_once_is_failed_after_a_broken_head(content_type):
    async def check(host):
        async def run_case(answer):
            reply = await host.call("once", [answer, SOUND_EVENTS])
            if (reply.status, reply.complete) != (502, True):
                return reply[:3]
            execution = json.loads(reply.body)["execution"]
            return None if execution == "outcome unknown" else execution

        assert await play(run_case, BROKEN_HEADS, content_type) == []

    with_host(check)


@pytest.mark.parametrize("content_type", KINDS)
def test_request_is_answered_by_another_engine_after_a_broken_head(content_type):
    async def check(host):
        async def run_case(answer):
            reply = await host.call("online", [answer, SOUND_EVENTS])
            return None if reply[:3] == (200, STREAM, True) else reply[:3]

        assert await play(run_case, BROKEN_HEADS, content_type) == []

    with_host(check)


@pytest.mark.parametrize("end", [End.RESET, End.SILENCE])
def test_stream_that_has_begun_skips_an_answer_with_a_broken_head(end):
    async def check(host):
        async def run_case(answer):
            begun = Answer(STREAM, end=end, sent_bytes=len(stream_of(2)))
            rest = stream_of(EVENTS, 2).replace(b": t", b": other")
            broken = attrs.evolve(answer, body=rest)
            reply = await host.call("online", [begun, broken, SOUND_EVENTS])
            whole = reply[:3] == (200, STREAM, True)
            if whole or not (reply.complete or b"other" in reply.body):
                return None
            return reply[:3]

        assert await play(run_case, BROKEN_HEADS) == []

    with_host(check)


# A body in chunks, so that they are taken off.
@pytest.mark.parametrize("coding", ["gzip, chunked", "chunked, chunked"])
def test_body_whose_coding_is_not_taken_off_reaches_no_caller(coding):
    async def check(host):
        answer = Answer(
            b"%x\r\n%b\r\n0\r\n\r\n" % (len(STREAM), STREAM),
            Framing.NONE,
            headers=(f"Transfer-Encoding: {coding}",),
        )
        reply = await host.call("once", [answer])
        assert (reply.status, reply.complete) == (502, True)

    with_host(check)


def in_chunks(body: bytes) -> Answer:
    """Return an answer whose body is chunks as they are given."""
    return Answer(
        body,
        Framing.NONE,
        content_type="text/plain",
        headers=("Transfer-Encoding: chunked",),
    )


BROKEN_CHUNKS = (
    b"2 \r\nok\r\n0\r\n\r\n",
    b"+2\r\nok\r\n0\r\n\r\n",
    b"0x2\r\nok\r\n0\r\n\r\n",
    b"2\nok\r\n0\r\n\r\n",
    b"2\r\nok\n0\r\n\r\n",
    b"2\r\nok0\r\n\r\n",
    b"2\r\nokk\r\n0\r\n\r\n",
    b"2;x=\x01\r\nok\r\n0\r\n\r\n",
)


@pytest.mark.parametrize("chunks", BROKEN_CHUNKS)
def test_body_in_broken_chunks_reaches_no_caller(chunks):
    async def check(host):
        reply = await host.call("once", [in_chunks(chunks)])
        assert (reply.status, reply.complete) == (502, True)
        assert json.loads(reply.body)["execution"] == "outcome unknown"

    with_host(check)


@pytest.mark.parametrize(
    "chunks", [b"02\r\nok\r\n0\r\n\r\n", b"2;x=y\r\nok\r\n0\r\n\r\n"]
)
def test_body_in_unusual_chunks_reaches_its_caller(chunks):
    async def check(host):
        reply = await host.call("once", [in_chunks(chunks)])
        assert reply[:3] == (200, b"ok", True)

    with_host(check)


def test_item_is_run_again_after_a_broken_head():
    async def check(host):
        async def run_case(answer):
            changed = attrs.evolve(answer, body=STREAM.replace(b": t", b": other"))
            item_id = await submit_item(host, [changed, SOUND_EVENTS, SOUND_EVENTS])
            async with asyncio.timeout(15.0):
                text = await item_result(host, item_id)
            return None if text == TEXT else text

        assert await play(run_case, BROKEN_HEADS) == []

    with_host(check)


SOUND_HEADS = [
    Head("no reason", "HTTP/1.1 200 "),
    Head("no blank behind the status", "HTTP/1.1 200"),
    Head("status without a name", "HTTP/1.1 299 Status"),
    Head("HTTP/1.0", "HTTP/1.0 200 OK", framing=(Framing.LENGTH, Framing.NONE)),
    Head("interim answer", interim=b"HTTP/1.1 100 Continue\r\n\r\n"),
    Head("hints", interim=b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    Head("tab and blanks in a value", headers=("X-Note: \ta\t b ",)),
    Head("no value", headers=("X-Note:",)),
    Head("byte above 127 in a value", headers=("X-Note: \u00e9",)),
    Head("odd name", headers=("x!#$%&'*+-.^_`|~9: a",)),
    Head("trailer", trailers=("X-Sum: 5",), framing=(Framing.CHUNKS,)),
]


@pytest.mark.parametrize("content_type", KINDS)
def test_answer_with_an_unusual_head_reaches_its_caller(content_type):
    async def check(host):
        async def run_case(answer):
            reply = await host.call("once", [answer])
            status = 299 if "299" in answer.first_lines else 200
            expected = (status, KINDS[content_type], True)
            return None if reply[:3] == expected else reply[:3]

        assert await play(run_case, SOUND_HEADS, content_type) == []

    with_host(check)


def play_calls(open_client_session, call, bodies, is_right):
    """Return each broken head after which a call came out wrong, and how."""

    async def run_case(answer):
        wrong = []
        for body in bodies:
            async with ScriptedEngine() as server, open_client_session() as session:
                server.scripts[""] = [attrs.evolve(answer, body=body)]
                result = await ended(call(session, f"127.0.0.1:{server.port}"))
            if not is_right(result):
                wrong.append((body, result))
        return wrong or None

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(play(run_case, BROKEN_HEADS, "text/plain"))


async def ended(call):
    """Return what a call returned, or the error with which it failed."""
    try:
        return await asyncio.wait_for(call, 2 * TIMEOUT_S)
    except (EngineFailure, ServiceFailure, PeerUnreachableError) as error:
        return error


def may_be_applied(result) -> bool:
    return isinstance(result, Failure) and result.failure().maybe_applied


KEY = RowKey("t", "k")
WRITE = Transaction(puts=(Put(KEY, b""),))
STORE_CALLS = {
    "rows": lambda store: store.rows("t"),
    "changes": lambda store: store.changes("t", 0, 0.1),
    "parts": lambda store: store.parts("t"),
    "write": lambda store: store.transact(WRITE),
    "object": lambda store: store.get("o"),
    "new object": lambda store: store.put("o", b"x"),
    "removed object": lambda store: store.delete("o"),
}
REPLIES = (b'{"rows":[],"ver":1,"parts":[]}', b"[]", b"")


@pytest.mark.parametrize("name", STORE_CALLS)
def test_reply_of_the_store_with_a_broken_head_is_a_failed_call(name):
    def call(session, address):
        return STORE_CALLS[name](StoreClient(session, address))

    assert play_calls(open_store_session, call, REPLIES, may_be_applied) == []


OLDER_CALLS = {
    "transaction": lambda s, a: HttpTable(s, a, TIMEOUT_S).transact(WRITE),
    "rows": lambda s, a: HttpTable(s, a, TIMEOUT_S).read([KEY]),
    "page": lambda s, a: HttpTable(s, a, TIMEOUT_S).scan("t", "k"),
    "object": lambda s, a: HttpObjects(s, a, TIMEOUT_S).get("o"),
    "new object": lambda s, a: HttpObjects(s, a, TIMEOUT_S).put("o", b"x"),
    "removed object": lambda s, a: HttpObjects(s, a, TIMEOUT_S).delete("o"),
    "hosts": lambda s, a: HttpHostList(s, a, TIMEOUT_S).hosts(),
}


@pytest.mark.parametrize("name", OLDER_CALLS)
def test_reply_to_the_older_program_with_a_broken_head_may_have_been_applied(name):
    call = OLDER_CALLS[name]
    assert play_calls(open_session, call, REPLIES, may_be_applied) == []


def engine_at(address):
    return Engine("e1", address, "r", "d", "m", "1")


async def generated(session, address):
    call = Generate("a1", "p", 4)
    async for _ in HttpEngines(session).generate(engine_at(address), call):
        pass


async def call_service(session, address):
    clock = SystemClock()
    call = ServiceCall(address, "POST", "/", b"q", "c")
    return await HttpServices(session, clock).call(call, clock.now_s() + TIMEOUT_S)


async def call_peer(session, address):
    clock = SystemClock()
    ip, port = address.split(":")
    peers = HttpPeers(session, clock)
    return await peers.call(
        PeerAddress(ip, int(port)), Ack(False, "x"), clock.now_s() + TIMEOUT_S
    )


SERVER_CALLS = {
    "generation": generated,
    "order": lambda s, a: HttpEngines(s).order(
        engine_at(a), EngineOrder("load", "m", 1)
    ),
    "load": lambda s, a: HttpEngines(s).load(engine_at(a)),
    "service": call_service,
}


LOAD = b'{"running":0,"waiting":0,"kv_used_tokens":0,"kv_limit_tokens":1,"step_s":1}'


@pytest.mark.parametrize("name", SERVER_CALLS)
def test_server_of_the_older_program_may_have_run_a_call_before_a_broken_head(name):
    def is_right(result):
        outcome = getattr(result, "outcome", None)
        return outcome is CallOutcome.BROKEN

    assert play_calls(open_session, SERVER_CALLS[name], [LOAD], is_right) == []


def test_peer_may_have_got_a_message_before_a_broken_head():
    message = encode_message(Ack(True, ""))

    def is_right(result):
        return isinstance(result, PeerUnreachableError) and result.sent

    assert play_calls(open_session, call_peer, [message], is_right) == []
