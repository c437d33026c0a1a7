"""Operator commands that read, and the re-run of recalled results."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option

from ._operator_client import OperatorClient, OperatorCommand, RefusedError

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


class StatusCommand(OperatorCommand):
    """Tell which revision is in force on which host."""

    name = "operator status"
    description = "Tell which revision is in force on which host."

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        return await client.call("GET", "status")

    def show(self, found: Any) -> None:
        """Print what was found, for people."""
        self.line(f"host {found['host']} is {found['state']}: {found['freshness']}")
        table = self.table()
        table.set_headers(["host", "state", "revision"])
        rows: Any = [[found["host"], found["state"], str(found["revision"])]]
        rows.extend(
            [item["incarnation"], item["state"], str(item["revision"])]
            for item in found["members"]
        )
        table.set_rows(rows)
        table.render()


class CustomersCommand(OperatorCommand):
    """List the customers."""

    name = "operator customers"
    description = "List the customers with their weights and labels."

    async def act(self, client: OperatorClient) -> Any:
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

    def show(self, found: Any) -> None:
        """Print what was found, for people."""
        for item in found:
            labels = " ".join(f"{name}={it}" for name, it in item["labels"].items())
            self.line(f"{item['name']} weight={item['weight']} {labels}".rstrip())


class ExplainCommand(OperatorCommand):
    """Tell where a request went, or where some work may run."""

    name = "operator explain"
    description = "Tell where a request went, or where some work may run, and why."
    arguments: ClassVar[list[Argument]] = [
        argument("request", "Id of a request.", optional=True)
    ]
    options: ClassVar[list[Option]] = [
        *OperatorCommand.options,
        option("customer", None, "Customer of the work.", flag=False),
        option("model", None, "Model of the work.", flag=False),
        option("adapter", None, "Adapter of the work.", flag=False),
        option("batch", None, "The work is of a batch job."),
        option("label", None, "Job label, name=value.", flag=False, multiple=True),
    ]

    async def act(self, client: OperatorClient) -> Any:
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

    def show(self, found: Any) -> None:
        """Print what was found, for people."""
        for step in found.get("steps", ()):
            self.line(step)
        for engine, reasons in found.get("engines", {}).items():
            self.line(f"{engine}: {'; '.join(reasons) or 'may run it'}")


class RecalledCommand(OperatorCommand):
    """List completed results that came from a recall."""

    name = "operator recalled"
    description = "List completed results that came from what was recalled."
    arguments: ClassVar[list[Argument]] = [argument("name", "Name of the recall.")]

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        path = f"recalls/{self.argument('name')}/results"
        found: dict[str, Any] = {"items": [], "requests": []}
        for kind in ("batch", "coding"):
            after: str | None = ""
            while after is not None:
                page = await client.call("GET", f"{path}?of={kind}&after={after}")
                found["items"].extend(page["items"])
                found["requests"].extend(page["requests"])
                after = page["after"]
        return found

    def show(self, found: Any) -> None:
        """Print what was found, for people."""
        for item in found["items"]:
            count = len(item["custom_ids"])
            self.line(f"job {item['job_id']} of {item['customer']}: {count} items")
            for custom_id in item["custom_ids"]:
                self.line(f"  {custom_id}")
        for request in found["requests"]:
            self.line(f"coding request {request}")


class RerunCommand(OperatorCommand):
    """Run a job's recalled items again."""

    name = "operator rerun"
    description = "Run the items of a job that came from a recall again."
    arguments: ClassVar[list[Argument]] = [
        argument("name", "Name of the recall."),
        argument("job", "Id of the job."),
    ]

    async def act(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        name, job = self.argument("name"), self.argument("job")
        return await client.call("POST", f"recalls/{name}/rerun/{job}")
