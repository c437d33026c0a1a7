"""The command ``aspenbridge check-config``."""

from __future__ import annotations

from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from returns.result import Failure

from aspenbridge.result_codes import codes_page
from aspenbridge.settings import load_settings, reference_page

from ._exit_codes import BAD_SETTINGS, DONE


class CheckConfigCommand(Command):
    """Check a settings file, or print a reference page."""

    name = "check-config"
    description = "Check a settings file, or print a reference page."
    options: ClassVar = [
        option(
            "config", "c", "Settings file to check; host.ini if not given.", flag=False
        ),
        option("reference", None, "Print the reference page of all settings."),
        option("codes", None, "Print the reference page of the result codes."),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        if self.option("reference"):
            self.line(reference_page().rstrip())
            return DONE
        if self.option("codes"):
            self.line(codes_page().rstrip())
            return DONE
        path = self.option("config") or "host.ini"
        loaded = load_settings(path)
        if isinstance(loaded, Failure):
            for error in loaded.failure():
                self.line_error(str(error))
            return BAD_SETTINGS
        self.line(f"{path}: the settings are valid")
        return DONE
