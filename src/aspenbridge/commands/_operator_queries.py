"""Operator commands that query a host, and the rerun of recalled items."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option

from ._operator_client import OperatorClient, OperatorCommand, RefusedError

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


class StatusCommand(OperatorCommand):
    """Show the state and the revision in force on each host."""

    name = "operator status"
    description = "Show the state and the revision in force on each host."

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        return await client.call("GET", "status")

    def print_text(self, output: Any) -> None:
        """Print the output of the command as text."""
        self.line(f"host {output['host']} is {output['state']}: {output['freshness']}")
        table = self.table()
        table.set_headers(["host", "state", "revision"])
        rows: Any = [[output["host"], output["state"], str(output["revision"])]]
        rows.extend(
            [item["incarnation"], item["state"], str(item["revision"])]
            for item in output["members"]
        )
        table.set_rows(rows)
        table.render()


class CustomersCommand(OperatorCommand):
    """List the customers with their weights and labels."""

    name = "operator customers"
    description = "List the customers with their weights and labels."

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        items = await client.call("GET", "objects/customer")
        return [
            {
                "name": item["name"],
                "weight": item["spec"].get("weight", 1.0),
                "labels": item["labels"],
                "revision": item["revision"],
            }
            for item in items
        ]

    def print_text(self, output: Any) -> None:
        """Print the output of the command as text."""
        for item in output:
            labels = " ".join(
                f"{name}={value}" for name, value in item["labels"].items()
            )
            self.line(f"{item['name']} weight={item['weight']} {labels}".rstrip())


class ExplainCommand(OperatorCommand):
    """Show where a request was sent, or where given work may run."""

    name = "operator explain"
    description = "Show where a request was sent, or where given work may run, and why."
    arguments: ClassVar[list[Argument]] = [
        argument(
            "request",
            "Id of a request; leave out to describe work by options.",
            optional=True,
        )
    ]
    options: ClassVar[list[Option]] = [
        *OperatorCommand.options,
        option("customer", None, "Customer of the work.", flag=False),
        option("model", None, "Model of the work.", flag=False),
        option("adapter", None, "Adapter of the work.", flag=False),
        option("batch", None, "The work belongs to a batch job; else it is online."),
        option("label", None, "Job label, name=value.", flag=False, multiple=True),
    ]

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        if self.argument("request"):
            return await client.call("GET", f"explain/{self.argument('request')}")
        if not self.option("customer") or not self.option("model"):
            detail = "name a request, or both --customer and --model"
            raise RefusedError({"code": 0, "detail": detail})
        pairs = (label.partition("=") for label in self.option("label"))
        work = {
            "customer": self.option("customer"),
            "model": self.option("model"),
            "adapter": self.option("adapter"),
            "online": not self.option("batch"),
            "labels": {name: value for name, _, value in pairs},
        }
        return await client.call("POST", "explain", work)

    def print_text(self, output: Any) -> None:
        """Print the output of the command as text."""
        for step in output.get("steps", ()):
            self.line(step)
        for engine, reasons in output.get("engines", {}).items():
            self.line(f"{engine}: {'; '.join(reasons) or 'may run it'}")


class RecalledCommand(OperatorCommand):
    """List completed results that a recall affects."""

    name = "operator recalled"
    description = "List completed results of recalled model versions or adapters."
    arguments: ClassVar[list[Argument]] = [argument("name", "Name of the recall.")]

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        path = f"recalls/{self.argument('name')}/results"
        output: dict[str, Any] = {"items": [], "requests": []}
        for kind in ("batch", "coding"):
            after: str | None = ""
            while after is not None:
                page = await client.call("GET", f"{path}?of={kind}&after={after}")
                output["items"].extend(page["items"])
                output["requests"].extend(page["requests"])
                after = page["after"]
        return output

    def print_text(self, output: Any) -> None:
        """Print the output of the command as text."""
        for item in output["items"]:
            count = len(item["custom_ids"])
            self.line(f"job {item['job_id']} of {item['customer']}: {count} items")
            for custom_id in item["custom_ids"]:
                self.line(f"  {custom_id}")
        for request in output["requests"]:
            self.line(f"coding request {request}")


class RerunCommand(OperatorCommand):
    """Rerun the items of a job that a recall affects."""

    name = "operator rerun"
    description = "Rerun the items of a job that a recall affects."
    arguments: ClassVar[list[Argument]] = [
        argument("name", "Name of the recall."),
        argument("job", "Id of the job."),
    ]

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        name, job = self.argument("name"), self.argument("job")
        return await client.call("POST", f"recalls/{name}/rerun/{job}")
