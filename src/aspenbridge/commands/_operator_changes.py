"""Operator commands that change the configuration."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

import msgspec
from cleo.helpers import argument, option

from ._operator_client import OperatorClient, OperatorCommand, RefusedError

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

RUNNING = option("running", None, "stop or finish.", flag=False, default="stop")


class LabelsCommand(OperatorCommand):
    """Set or remove labels of an object."""

    name = "operator labels"
    description = "Set (name=value) or remove (name-) labels of an object."
    arguments: ClassVar[list[Argument]] = [
        argument("kind", "Kind, such as engine, model, adapter or customer."),
        argument("name", "Name of the object."),
        argument("labels", "name=value or name-.", multiple=True),
    ]

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        base_revision = await client.revision()
        item = await client.find(self.argument("kind"), self.argument("name"))
        item["labels"] = changed_labels(item["labels"], self.argument("labels"))
        return await client.change(base_revision, [item])


def changed_labels(labels: dict[str, str], changes: list[str]) -> dict[str, str]:
    """
    Return labels with changes such as ``name=value`` and ``name-`` applied.

    :raises RefusedError: when a change has another form.
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
    """A command that takes a file of objects."""

    arguments: ClassVar[list[Argument]] = [
        argument("file", "JSON file: a list of objects, or a whole change.")
    ]

    def change(self) -> dict[str, Any]:
        """
        Return the change that the file holds.

        :raises RefusedError: when it can't be read.
        """
        path = self.argument("file")
        try:
            value = msgspec.json.decode(Path(path).read_bytes())
        except (OSError, msgspec.DecodeError) as error:
            raise RefusedError({"code": 0, "detail": f"{path}: {error}"}) from error
        return {"put": value} if isinstance(value, list) else dict(value)


class ApplyCommand(FileCommand):
    """Apply a file of objects."""

    name = "operator apply"
    description = "Apply a file of objects."

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        change = self.change()
        base_revision = change.get("base_revision")
        if base_revision is None:
            base_revision = await client.revision()
        return await client.change(
            base_revision, change.get("put", []), change.get("removed", [])
        )


class DryRunCommand(FileCommand):
    """Tell what a file of objects would match."""

    name = "operator dry-run"
    description = "Tell what a file of objects would match, applying nothing."

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        change = {"base_revision": 0, **self.change()}
        return await client.call("POST", "dry-run", change)

    def show(self, found: Any) -> None:
        """Print what was found, for people."""
        for match in found:
            place = f"{match['kind']} {match['name']}, {match['field']}"
            self.line(f"{place}: {match['selector']!r} matches {match['count']}")
            for name in match["names"]:
                self.line(f"  {name}")


class RemoveCommand(OperatorCommand):
    """Remove an object."""

    name = "operator remove"
    description = "Remove an object."
    arguments: ClassVar[list[Argument]] = [
        argument("kind", "Kind of the object."),
        argument("name", "Name of the object."),
    ]

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        place = (self.argument("kind"), self.argument("name"))
        return await client.change(await client.revision(), [], [place])


class DrainCommand(OperatorCommand):
    """Keep new work away from engines."""

    name = "operator drain"
    description = "Keep new work away from the engines that a selector matches."
    arguments: ClassVar[list[Argument]] = [
        argument("name", "Name of the drain."),
        argument("engines", "Selector of engines."),
    ]

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        spec = {"engines": self.argument("engines")}
        item = {"kind": "drain", "name": self.argument("name"), "spec": spec}
        return await client.change(await client.revision(), [item])


class UndrainCommand(OperatorCommand):
    """End a drain."""

    name = "operator undrain"
    description = "End a drain."
    arguments: ClassVar[list[Argument]] = [argument("name", "Name of the drain.")]

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        place = ("drain", self.argument("name"))
        return await client.change(await client.revision(), [], [place])


class RecallCommand(OperatorCommand):
    """Take a model version or adapter out of use."""

    name = "operator recall"
    description = "Take the model versions or adapters of a selector out of use."
    arguments: ClassVar[list[Argument]] = [
        argument("name", "Name of the recall."),
        argument("selector", "Selector, such as model@version or an adapter."),
    ]
    options: ClassVar[list[Option]] = [*OperatorCommand.options, RUNNING]

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        spec = {
            "selector": self.argument("selector"),
            "running": self.option("running"),
        }
        item = {"kind": "recall", "name": self.argument("name"), "spec": spec}
        return await client.change(await client.revision(), [item])
