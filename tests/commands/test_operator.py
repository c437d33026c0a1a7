"""Runs the operator commands against one host on loopback."""

from __future__ import annotations

import json
import random
from contextlib import AsyncExitStack

import pytest
from cleo.testers.command_tester import CommandTester

import aspenbridge.loop
from aspenbridge.clock import SystemClock
from aspenbridge.commands import application
from aspenbridge.commands._exit_codes import CONFLICT, DONE, REFUSED, UNREACHABLE
from aspenbridge.commands._operator_changes import changed_labels
from aspenbridge.demo._fleet import Fleet, configuration
from aspenbridge.http import key_digest, make_app
from aspenbridge.loop import listening_socket, run_on_loop
from aspenbridge.settings import ConfigurationSettings
from aspenbridge.work import Work

SALT = "0a" * 8
SETTINGS = ConfigurationSettings(
    bootstrap_operator=f"first:{SALT}:{key_digest(SALT, 'secret')}"
)


class Console:
    """Runs commands on the event loop of the test."""

    def __init__(self, port, host):
        self.host = host
        self._options = f"--json --url http://127.0.0.1:{port} --key first.secret"
        self.output = None

    async def run(self, name, arguments="", options=None):
        tester = CommandTester(application().find(name))
        coroutines = []
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                aspenbridge.loop,
                "run_on_loop",
                lambda main: coroutines.append(main) or 0,
            )
            tester.execute(f"{arguments} {options or self._options}")
        code = await coroutines.pop()
        output = tester.io.fetch_output()
        self.output = json.loads(output) if output else tester.io.fetch_error()
        return code


def run_with_console(scenario):
    async def main():
        fleet = Fleet(SystemClock(), random.Random(1))
        fleet.add_backends()
        host = fleet.host(1)
        object.__setattr__(host.settings, "configuration", SETTINGS)
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(host)
            (await host.authority.accept("test", 0, configuration())).unwrap()
            await host.follower.refresh()
            sock = listening_socket("127.0.0.1", 0)
            stack.callback(sock.close)
            app = make_app(host)
            # TOUCHUP rewrites Sanic's classes, which works for one app only.
            app.config.TOUCHUP = False
            server = await app.create_server(sock=sock, return_asyncio_server=True)
            await server.startup()
            stack.callback(server.close)
            await scenario(Console(sock.getsockname()[1], host))
        return 0

    run_on_loop(main())


def test_commands_change_and_query_when_an_operator_runs_them(tmp_path) -> None:
    async def scenario(console):
        assert await console.run("operator status") == DONE
        assert console.output["revision"] == 1
        assert await console.run("operator labels", "engine engine-1 pool=x") == DONE
        assert console.output == {
            "revision": 2,
            "in_force_hosts": 1,
            "known_hosts": 1,
        }
        rule = {"work": "class = batch", "engines": "labels.pool = coding"}
        path = tmp_path / "rule.json"
        path.write_text(json.dumps([{"kind": "placement", "name": "r", "spec": rule}]))
        assert await console.run("operator dry-run", str(path)) == DONE
        assert [match["count"] for match in console.output] == [0, 3]
        assert await console.run("operator apply", str(path)) == DONE
        assert await console.run("operator drain", "d 'labels.pool = x'") == DONE
        work = "--customer kgotso --model coder --batch"
        assert await console.run("operator explain", work) == DONE
        reasons = console.output["engines"]["engine-1"]
        assert [reason.split()[0] for reason in reasons] == ["drain", "placement"]
        assert await console.run("operator undrain", "d") == DONE
        assert await console.run("operator remove", "placement r") == DONE
        assert await console.run("operator recall", "faulty coder@2") == DONE
        assert len(console.host.view.eligible("coder", None)) == 2

    run_with_console(scenario)


def test_exit_code_and_message_name_the_problem_when_a_host_refuses(tmp_path) -> None:
    async def scenario(console):
        assert await console.run("operator drain", "d 'regoin = x'") == REFUSED
        assert "column 1" in console.output
        path = tmp_path / "outdated.json"
        outdated = {"base_revision": 0, "put": [{"kind": "engine", "name": "engine-1"}]}
        outdated["put"][0]["spec"] = dict(
            console.host.view.find("engine", "engine-1").spec
        )
        path.write_text(json.dumps(outdated))
        assert await console.run("operator apply", str(path)) == CONFLICT
        assert "revision 1 changed it" in console.output
        unreachable = "--url http://127.0.0.1:1 --key a.b"
        assert await console.run("operator status", "", unreachable) == UNREACHABLE
        wrong_key = "--key first.other " + console._options.replace(
            "--key first.secret", ""
        )
        assert await console.run("operator status", "", wrong_key) == REFUSED

    run_with_console(scenario)


def test_explain_names_the_engine_when_a_request_has_run() -> None:
    async def scenario(console):
        host = console.host
        deadline_s = host.ports.clock.now_s() + 20
        work = Work("req-1", "kgotso", "coder", "p", 4, True, deadline_s)
        (await host.coding.submit(work, None)).unwrap()
        assert await console.run("operator explain", "req-1") == DONE
        assert "placed on engine engine-" in console.output["steps"][0]

    run_with_console(scenario)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [(["a=2"], {"a": "2", "b": ""}), (["a-", "c=x=y"], {"b": "", "c": "x=y"})],
)
def test_labels_are_set_and_removed_when(changes, expected) -> None:
    assert changed_labels({"a": "1", "b": ""}, changes) == expected
