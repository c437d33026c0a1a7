"""The implementations of the ports that a host uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from opentelemetry.trace import NoOpTracer

from aspenbridge.ports import NoMetrics

if TYPE_CHECKING:
    from random import Random

    from opentelemetry.trace import Tracer

    from aspenbridge.ports import (
        Clock,
        EngineClient,
        HostList,
        Metrics,
        ObjectStore,
        PeerTransport,
        ServiceClient,
        TableService,
    )


@attrs.frozen
class Ports:
    """Everything that a host needs from the outside; tests pass stand-ins."""

    clock: Clock
    random: Random
    table: TableService
    objects: ObjectStore
    host_list: HostList
    peers: PeerTransport
    engines: EngineClient
    services: ServiceClient
    metrics: Metrics = attrs.field(factory=NoMetrics)
    tracer: Tracer = attrs.field(factory=NoOpTracer)
