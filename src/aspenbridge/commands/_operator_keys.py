"""The command ``aspenbridge operator new-key``."""

from __future__ import annotations

import json
import secrets
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ._exit_codes import DONE

SECRET_BYTES = 32
SALT_BYTES = 16


class OperatorNewKeyCommand(Command):
    """Generate an API key and the salt and digest for the configuration."""

    name = "operator new-key"
    description = "Generate an API key and the salt and digest for the configuration."
    arguments: ClassVar = [argument("name", "Name of the operator or customer.")]
    options: ClassVar = [option("json", None, "Print JSON.")]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        from aspenbridge.http import key_digest

        name = self.argument("name")
        secret = secrets.token_urlsafe(SECRET_BYTES)
        salt = secrets.token_hex(SALT_BYTES)
        digest = key_digest(salt, secret)
        fields = {
            "key": f"{name}.{secret}",
            "key_salt": salt,
            "key_digest": digest,
            "bootstrap_operator": f"{name}:{salt}:{digest}",
        }
        if self.option("json"):
            self.line(json.dumps(fields))
            return DONE
        for field, value in fields.items():
            self.line(f"{field} = {value}")
        return DONE
