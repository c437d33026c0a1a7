"""
The messages that hosts send to each other.

Class and field names are part of the protocol: ``messages.capnp`` has the same
names in camel case.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class MemberNews:
    """
    The state of one member, as gossiped between hosts.

    The host that it describes raises ``counter`` with each message it sends,
    so that of two states of an incarnation the one with the higher counter is
    the newer. ``revision`` is the configuration revision that it has applied.
    """

    incarnation: str
    address: str
    state: str
    region: str = ""
    failure_domain: str = ""
    counter: int = 0
    revision: int = 0


@attrs.frozen
class Probe:
    """
    Asks a peer whether it is alive, and gossips the state of members to it.

    ``revision`` is the configuration revision that the sender has applied, and
    ``confirmed_age_s`` the seconds since it was confirmed as the newest;
    negative if it was never confirmed.
    """

    sender: MemberNews
    news: tuple[MemberNews, ...] = ()
    revision: int = 0
    confirmed_age_s: float = 0.0


@attrs.frozen
class ProbeReply:
    """Answers a probe; the fields are those of the probe."""

    sender: MemberNews
    news: tuple[MemberNews, ...] = ()
    revision: int = 0
    confirmed_age_s: float = 0.0


@attrs.frozen
class ProbeVia:
    """Asks a peer to probe a third host, whose address is ``target``."""

    target: str


@attrs.frozen
class Ack:
    """Acknowledges a message, or tells why it was not accepted."""

    ok: bool = True
    detail: str = ""


@attrs.frozen
class GrantRequest:
    """
    Asks the owner of an engine group for a slot on one of its engines.

    ``grant`` is the id of the grant, ``engines`` names the engines that may
    run the request, and ``origin`` is the incarnation of the host that asks.
    The request is refused once it has been queued for ``wait_s``, and has to
    be complete within ``due_in_s``.
    """

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
    """
    Grants a slot on an engine, or refuses it with a retry delay.

    A reply that neither grants a slot nor has a result ``code`` comes from a
    host that does not own the group, and names the ``owner``. ``queued`` and
    ``running`` count the requests of the group.
    """

    granted: bool
    engine: str = ""
    owner: str = ""
    retry_after_s: float = 0.0
    code: int = 0
    queued: int = 0
    running: int = 0


@attrs.frozen
class GrantRelease:
    """Releases a slot, and reports the tokens that were generated in it."""

    group: str
    grant: str
    tokens: int
    failed: bool = False
    cached_tokens: int = 0


@attrs.frozen
class GrantRevoke:
    """Revokes the slots of preempted batch work, by their grant ids."""

    grants: tuple[str, ...]


@attrs.frozen
class RunningGrant:
    """
    One slot in use, as the host that holds the grant reports it.

    ``tokens_left`` is an upper bound of the tokens still to be generated.
    """

    grant: str
    engine: str
    online: bool
    customer: str
    tokens_left: int


@attrs.frozen
class RunningReport:
    """Reports to the owner of a group which grants the sender holds in it."""

    group: str
    origin: str
    grants: tuple[RunningGrant, ...]


@attrs.frozen
class RevisionNotice:
    """Announces a configuration revision and where to fetch its changes."""

    revision: int
    address: str


@attrs.frozen
class ChangesRequest:
    """Requests the configuration changes after a revision."""

    after: int


@attrs.frozen
class ChangesReply:
    """Returns configuration changes, encoded as in the table service."""

    revision: int
    changes: tuple[bytes, ...]


@attrs.frozen
class SuspectNotice:
    """
    Reports how many times an engine crashed while a request ran on it.

    ``fingerprint`` identifies the request, and ``convicted`` says that it is
    quarantined. A notice of 0 crashes clears the request of suspicion.
    """

    fingerprint: str
    crashes: int
    convicted: bool


@attrs.frozen
class CancelNotice:
    """Reports that a job was cancelled."""

    job: str


@attrs.frozen
class ExplainRequest:
    """Requests the steps that a host took for a request."""

    request: str


@attrs.frozen
class ExplainReply:
    """Returns the steps that a host took for a request, oldest first."""

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
