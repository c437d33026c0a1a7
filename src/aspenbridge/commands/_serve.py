"""The command ``aspenbridge serve``."""

from __future__ import annotations

from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from returns.result import Failure

from aspenbridge.settings import load_settings
from aspenbridge.telemetry import configure_logs

from ._exit_codes import BAD_SETTINGS, UNREACHABLE


class ServeCommand(Command):
    """Run one host until SIGTERM or SIGINT stops it."""

    name = "serve"
    description = "Run one host until SIGTERM or SIGINT stops it."
    options: ClassVar = [
        option("config", "c", "Settings file; host.ini if not given.", flag=False)
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        loaded = load_settings(self.option("config") or "host.ini")
        if isinstance(loaded, Failure):
            for error in loaded.failure():
                self.line_error(str(error))
            return BAD_SETTINGS
        settings = loaded.unwrap()
        configure_logs(settings.telemetry.log_level)
        from aspenbridge.host import StartError
        from aspenbridge.host.server import serve
        from aspenbridge.loop import run_on_loop

        try:
            return run_on_loop(serve(settings))
        except StartError as error:
            self.line_error(str(error))
            return UNREACHABLE
