"""The command line of the stand-ins."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from aspenbridge.clock import SystemClock
from aspenbridge.embedded import EngineProfile
from aspenbridge.loop import listening_socket, run_on_loop

from ._apps import engine_app, hosts_app, objects_app, service_app, table_app

if TYPE_CHECKING:
    from collections.abc import Callable

    from sanic import Sanic

APPS: dict[str, Callable[..., Sanic[Any, Any]]] = {
    "engine": engine_app,
    "hosts": hosts_app,
    "objects": objects_app,
    "service": service_app,
    "table": table_app,
}


class RunCommand(Command):
    """Runs one stand-in until it gets SIGTERM or SIGINT."""

    name = "run"
    description = "Run one stand-in until it gets SIGTERM or SIGINT."
    arguments: ClassVar = [argument("kind", f"One of {', '.join(APPS)}.")]
    options: ClassVar = [
        option("port", "p", "Port on 127.0.0.1.", flag=False),
        option("seed", None, "Seed of the random faults.", flag=False, default="1"),
        option("base-step-s", None, "Engine: seconds per step.", flag=False),
        option(
            "sequence-step-s",
            None,
            "Engine: seconds per step and sequence.",
            flag=False,
        ),
        option(
            "prefill-token-s",
            None,
            "Engine: seconds per uncached prompt token.",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        return run_on_loop(self._serve())

    def _engine_profile(self) -> EngineProfile:
        defaults = EngineProfile()
        return EngineProfile(
            base_step_s=float(self.option("base-step-s") or defaults.base_step_s),
            step_per_sequence_s=float(
                self.option("sequence-step-s") or defaults.step_per_sequence_s
            ),
            prefill_per_token_s=float(
                self.option("prefill-token-s") or defaults.prefill_per_token_s
            ),
        )

    async def _serve(self) -> int:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopping.set)
        kind = self.argument("kind")
        engine_arguments = (self._engine_profile(),) if kind == "engine" else ()
        app = APPS[kind](SystemClock(), int(self.option("seed")), *engine_arguments)
        sock = listening_socket("127.0.0.1", int(self.option("port")))
        server = await app.create_server(sock=sock, return_asyncio_server=True)
        if server is None:
            raise RuntimeError("sanic created no server")
        await server.startup()  # type: ignore[no-untyped-call]
        await server.start_serving()  # type: ignore[no-untyped-call]
        await stopping.wait()
        server.close()  # type: ignore[no-untyped-call]
        return 0


def application() -> Application:
    """Return the command line of the stand-ins."""
    app = Application("aspenbridge-standins")
    app.add(RunCommand())
    return app
