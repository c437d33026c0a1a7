"""The routes of a configuration, and the lookup of a request's route."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random


class CallKind(Enum):
    """How calls on a route are served, and whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


def virtual_host(host_header: str) -> str:
    """Return the virtual host of a ``Host`` header, without its port."""
    return host_header.partition(":")[0].lower()


@attrs.frozen
class Target:
    """A service and its weight among the targets of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests to one virtual host and path prefix are served."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    targets: tuple[Target, ...]
    request_limit_s: float  # from the arrival of a request to its end
    latency_goal_s: float  # from the arrival of a request to its first event
    event_gap_goal_s: float
    # Counts the attempts that were sent for an online request, and the failed
    # runs of a batch item.
    max_attempts: int
    resumable: bool
    priority: int
    completion_goal_s: float  # from acceptance to the due time of a batch job
    retention_s: float  # from acceptance to the expiry of a batch job
    max_waiting_tokens: int = 0  # of all batch jobs on the route; 0 for no limit

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is CallKind.STREAMING:
            return self.resumable
        return self.kind is not CallKind.NON_IDEMPOTENT

    @property
    def services(self) -> tuple[str, ...]:
        """The services that may get a request."""
        if len(self.targets) == 1:
            return (self.targets[0].service,)
        chosen = (target.service for target in self.targets if target.weight > 0)
        return tuple(dict.fromkeys(chosen))

    def pick_service(self, random: Random) -> str:
        """Return a random service, by the weights of the targets."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return random.choices(self.targets, weights)[0].service


@attrs.frozen
class RequestLimits:
    """Limits on the requests of callers."""

    header_bytes: int
    body_bytes: int
    idle_s: float


@attrs.frozen
class Configuration:
    """One whole version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    limits: RequestLimits
    _by_host: dict[str, Sequence[Route]] = attrs.field(init=False, eq=False)

    @_by_host.default
    def _index(self) -> dict[str, Sequence[Route]]:
        hosts: dict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            hosts[route.host].append(route)
        for routes in hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return dict(hosts)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
