"""Typed messages between hosts, their codec and their transport."""

from __future__ import annotations

from ._messages import (
    Ack,
    CancelNotice,
    ChangesReply,
    ChangesRequest,
    ExplainReply,
    ExplainRequest,
    GrantRelease,
    GrantReply,
    GrantRequest,
    GrantRevoke,
    MemberNews,
    Message,
    Probe,
    ProbeReply,
    ProbeVia,
    RevisionNotice,
    RunningGrant,
    RunningReport,
    SuspectNotice,
)

__all__ = [
    "Ack",
    "CancelNotice",
    "ChangesReply",
    "ChangesRequest",
    "ExplainReply",
    "ExplainRequest",
    "GrantRelease",
    "GrantReply",
    "GrantRequest",
    "GrantRevoke",
    "MemberNews",
    "Message",
    "Probe",
    "ProbeReply",
    "ProbeVia",
    "RevisionNotice",
    "RunningGrant",
    "RunningReport",
    "SuspectNotice",
]
