"""Operator commands that change the configuration, and its dry run."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

import msgspec
from cleo.helpers import argument, option

from ._operator_client import OperatorClient, OperatorCommand, RefusedError

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

RUNNING_OPTION = option(
    "running",
    None,
    "What to do with running requests: stop or finish.",
    flag=False,
    default="stop",
)


class LabelsCommand(OperatorCommand):
    """Set or remove labels of a configuration object."""

    name = "operator labels"
    description = "Set (name=value) or remove (name-) labels of an object."
    arguments: ClassVar[list[Argument]] = [
        argument("kind", "Kind, such as engine, model, adapter or customer."),
        argument("name", "Name of the object."),
        argument("labels", "name=value to set, name- to remove.", multiple=True),
    ]

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        base_revision = await client.revision()
        item = await client.find(self.argument("kind"), self.argument("name"))
        item["labels"] = changed_labels(item["labels"], self.argument("labels"))
        return await client.change(base_revision, [item])


def changed_labels(labels: dict[str, str], changes: list[str]) -> dict[str, str]:
    """
    Return labels with changes such as ``name=value`` and ``name-`` applied.

    :raises RefusedError: if a change has another form.
    """
    changed = dict(labels)
    for change in changes:
        name, separator, value = change.partition("=")
        if separator:
            changed[name] = value
        elif name.endswith("-"):
            changed.pop(name.removesuffix("-"), None)
        else:
            detail = f"{change!r} is neither name=value nor name-"
            raise RefusedError({"code": 0, "detail": detail})
    return changed


class FileCommand(OperatorCommand):
    """A command that reads configuration objects from a file."""

    arguments: ClassVar[list[Argument]] = [
        argument("file", "JSON file with a list of objects or a complete change.")
    ]

    def read_change(self) -> dict[str, Any]:
        """
        Return the change in the file.

        A list of objects is a change that adds or replaces them.

        :raises RefusedError: if the file can't be read or is not JSON.
        """
        path = self.argument("file")
        try:
            value = msgspec.json.decode(Path(path).read_bytes())
        except (OSError, msgspec.DecodeError) as error:
            raise RefusedError({"code": 0, "detail": f"{path}: {error}"}) from error
        return {"put": value} if isinstance(value, list) else dict(value)


class ApplyCommand(FileCommand):
    """Apply the objects or the change in a file."""

    name = "operator apply"
    description = "Apply the objects or the change in a file."

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        change = self.read_change()
        base_revision = change.get("base_revision")
        if base_revision is None:
            base_revision = await client.revision()
        return await client.change(
            base_revision, change.get("put", []), change.get("removed", [])
        )


class DryRunCommand(FileCommand):
    """Show what the selectors in a file match, without applying the file."""

    name = "operator dry-run"
    description = "Show what the selectors in a file match, without applying the file."

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        change = {"base_revision": 0, **self.read_change()}
        return await client.call("POST", "dry-run", change)

    def print_text(self, output: Any) -> None:
        """Print the output of the command as text."""
        for match in output:
            location = f"{match['kind']} {match['name']}, {match['field']}"
            self.line(f"{location}: {match['selector']!r} matches {match['count']}")
            for name in match["names"]:
                self.line(f"  {name}")


class RemoveCommand(OperatorCommand):
    """Remove a configuration object."""

    name = "operator remove"
    description = "Remove an object."
    arguments: ClassVar[list[Argument]] = [
        argument("kind", "Kind of the object."),
        argument("name", "Name of the object."),
    ]

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        target = (self.argument("kind"), self.argument("name"))
        return await client.change(await client.revision(), [], [target])


class DrainCommand(OperatorCommand):
    """Send no new work to the engines that a selector matches."""

    name = "operator drain"
    description = "Send no new work to the engines that a selector matches."
    arguments: ClassVar[list[Argument]] = [
        argument("name", "Name of the drain."),
        argument("engines", "Selector of engines."),
    ]

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        spec = {"engines": self.argument("engines")}
        item = {"kind": "drain", "name": self.argument("name"), "spec": spec}
        return await client.change(await client.revision(), [item])


class UndrainCommand(OperatorCommand):
    """End a drain: its engines get new work again."""

    name = "operator undrain"
    description = "End a drain, so that its engines get new work again."
    arguments: ClassVar[list[Argument]] = [argument("name", "Name of the drain.")]

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        target = ("drain", self.argument("name"))
        return await client.change(await client.revision(), [], [target])


class RecallCommand(OperatorCommand):
    """Take model versions or adapters that a selector matches out of use."""

    name = "operator recall"
    description = "Take model versions or adapters that a selector matches out of use."
    arguments: ClassVar[list[Argument]] = [
        argument("name", "Name of the recall."),
        argument("selector", "Selector, such as model@version or an adapter."),
    ]
    options: ClassVar[list[Option]] = [*OperatorCommand.options, RUNNING_OPTION]

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        spec = {
            "selector": self.argument("selector"),
            "running": self.option("running"),
        }
        item = {"kind": "recall", "name": self.argument("name"), "spec": spec}
        return await client.change(await client.revision(), [item])
