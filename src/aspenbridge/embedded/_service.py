"""A plain service that takes bookings and counts its runs."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from aspenbridge.ports import CallOutcome, ServiceFailure, ServiceReply

if TYPE_CHECKING:
    from aspenbridge.ports import ServiceCall

HTTP_CREATED = 201


class BookingLedger:
    """Counts how often each body was booked."""

    def __init__(self) -> None:
        self.runs: Counter[bytes] = Counter()

    def book(self, call: ServiceCall) -> ServiceReply:
        """Run one booking."""
        self.runs[call.body] += 1
        booking = {"booking": call.call_id, "number": sum(self.runs.values())}
        body = msgspec.json.encode(booking)
        return ServiceReply(HTTP_CREATED, body, "application/json")


class EmbeddedServices:
    """Calls ledgers of this process by address."""

    def __init__(self) -> None:
        self.ledgers: dict[str, BookingLedger] = {}

    async def call(self, call: ServiceCall, deadline_s: float) -> ServiceReply:
        """
        Make one call, once.

        :raises ServiceFailure: when no ledger has the address.
        """
        ledger = self.ledgers.get(call.address)
        if ledger is None:
            reason = "no such service"
            raise ServiceFailure(call.address, CallOutcome.NOT_SENT, reason)
        return ledger.book(call)
