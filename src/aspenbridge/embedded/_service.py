"""A simulated plain service that accepts bookings and counts them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from aspenbridge.ports import CallOutcome, ServiceFailure, ServiceReply

if TYPE_CHECKING:
    from aspenbridge.ports import ServiceCall

STATUS_CREATED = 201


class BookingLedger:
    """Accepts bookings; ``runs`` counts the bookings by request body."""

    def __init__(self) -> None:
        self.runs: Counter[bytes] = Counter()

    def book(self, call: ServiceCall) -> ServiceReply:
        """Run one booking and return its reply."""
        self.runs[call.body] += 1
        booking = {"booking": call.call_id, "number": sum(self.runs.values())}
        body = msgspec.json.encode(booking)
        return ServiceReply(STATUS_CREATED, body, "application/json")


class EmbeddedServices:
    """A ``ServiceClient`` that looks up booking ledgers by address."""

    def __init__(self) -> None:
        self.ledgers: dict[str, BookingLedger] = {}

    async def call(self, call: ServiceCall, deadline_s: float) -> ServiceReply:
        """
        Call a ledger once and return its reply.

        :param deadline_s: not used; the ledger replies at once.
        :raises ServiceFailure: when no ledger has the address.
        """
        ledger = self.ledgers.get(call.address)
        if ledger is None:
            reason = "no such service"
            raise ServiceFailure(call.address, CallOutcome.NOT_SENT, reason)
        return ledger.book(call)
