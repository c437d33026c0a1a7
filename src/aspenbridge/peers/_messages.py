"""The messages that hosts send to each other."""

from __future__ import annotations

import attrs


@attrs.frozen
class MemberNews:
    """What one host knows of another; the higher counter is the newer."""

    incarnation: str
    address: str
    state: str
    region: str = ""
    failure_domain: str = ""
    counter: int = 0
    revision: int = 0


@attrs.frozen
class Probe:
    """Asks a peer whether it lives, and carries news both ways."""

    sender: MemberNews
    news: tuple[MemberNews, ...] = ()
    revision: int = 0
    confirmed_age_s: float = 0.0


@attrs.frozen
class ProbeReply:
    """Answers a probe."""

    sender: MemberNews
    news: tuple[MemberNews, ...] = ()
    revision: int = 0
    confirmed_age_s: float = 0.0


@attrs.frozen
class ProbeVia:
    """Asks a peer to probe a third host, given by address."""

    target: str


@attrs.frozen
class Ack:
    """Tells that a message was taken, or why it was not."""

    ok: bool = True
    detail: str = ""


@attrs.frozen
class GrantRequest:
    """Asks the owner of an engine group for a place on one engine."""

    grant: str
    group: str
    online: bool
    customer: str
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    engines: tuple[str, ...] = ()
    adapter: str = ""
    wait_s: float = 0.0
    origin: str = ""
    due_in_s: float = 0.0


@attrs.frozen
class GrantReply:
    """Gives a place on an engine, or tells when to come back."""

    granted: bool
    engine: str = ""
    owner: str = ""
    retry_after_s: float = 0.0
    code: int = 0
    queued: int = 0
    running: int = 0


@attrs.frozen
class GrantRelease:
    """Gives a place back and tells what was used."""

    group: str
    grant: str
    tokens: int
    failed: bool = False
    cached_tokens: int = 0


@attrs.frozen
class GrantRevoke:
    """Takes places back from batch work."""

    grants: tuple[str, ...]


@attrs.frozen
class RunningGrant:
    """One place in use, as its holder reports it to a new owner."""

    grant: str
    engine: str
    online: bool
    customer: str
    tokens_left: int


@attrs.frozen
class RunningReport:
    """Tells a new owner of a group what the sender runs in it."""

    group: str
    origin: str
    grants: tuple[RunningGrant, ...]


@attrs.frozen
class RevisionNotice:
    """Tells that a newer configuration revision exists, and who has it."""

    revision: int
    address: str


@attrs.frozen
class ChangesRequest:
    """Asks for the configuration changes after a revision."""

    after: int


@attrs.frozen
class ChangesReply:
    """Gives configuration changes, encoded as they are stored."""

    revision: int
    changes: tuple[bytes, ...]


@attrs.frozen
class SuspectNotice:
    """Tells that a request was running when an engine crashed."""

    fingerprint: str
    crashes: int
    convicted: bool


@attrs.frozen
class CancelNotice:
    """Tells that a job was cancelled."""

    job: str


@attrs.frozen
class ExplainRequest:
    """Asks what a host did with a request."""

    request: str


@attrs.frozen
class ExplainReply:
    """Gives the steps of a request, oldest first."""

    steps: tuple[str, ...]


Message = (
    Probe
    | ProbeReply
    | ProbeVia
    | Ack
    | GrantRequest
    | GrantReply
    | GrantRelease
    | GrantRevoke
    | RunningReport
    | RevisionNotice
    | ChangesRequest
    | ChangesReply
    | SuspectNotice
    | CancelNotice
    | ExplainRequest
    | ExplainReply
)
