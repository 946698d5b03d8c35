"""Data types of claims."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from marigoldtrail.schema.generated.records import ClaimReply


class ClaimState(enum.IntEnum):
    """State of a claim."""

    FREE = 0
    PENDING = 1
    DONE = 2
    MAY_HAVE_RUN = 3


class SettledBy(enum.IntEnum):
    """Who settled a claim."""

    ATTEMPT = 0
    SWEEPER = 1
    OPERATOR = 2


class Location(NamedTuple):
    """
    Location of an entry in the segments.

    Parameters
    ----------
    segment : int
        Number of the segment.
    offset : int
        Byte offset of the entry in the segment.
    """

    segment: int
    offset: int


# A location packed into one integer takes 32 bytes; the tuple and its two integers take 130 bytes.
NO_ANSWER = -1
_OFFSET_BITS = 32


def pack_location(location: Location | None) -> int:
    """
    Pack a location into one integer.

    Parameters
    ----------
    location : Location or None
        The location.

    Returns
    -------
    int
        `NO_ANSWER` for None.

    Examples
    --------
    >>> unpack_location(pack_location(Location(3, 70_000)))
    Location(segment=3, offset=70000)
    """
    if location is None:
        return NO_ANSWER
    return location.segment << _OFFSET_BITS | location.offset


def unpack_location(packed: int) -> Location | None:
    """
    Unpack a location.

    Parameters
    ----------
    packed : int
        Integer returned by `pack_location`.

    Returns
    -------
    Location or None
        None for `NO_ANSWER`.
    """
    if packed == NO_ANSWER:
        return None
    return Location(packed >> _OFFSET_BITS, packed & (1 << _OFFSET_BITS) - 1)


class Target(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """
    An upstream to which the claimed call may have been sent.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    outcome_path : str
        Path to query for the outcome of an attempt; empty if there is none.
    outcome_final : bool
        Whether "not found" from the upstream rules out a later run.
    """

    upstream: str
    outcome_path: str
    outcome_final: bool


class Claim(msgspec.Struct, array_like=True, kw_only=True, gc=False):
    """
    The claim of one stage under an idempotency key.

    Parameters
    ----------
    stage : str
        Name of the stage.
    state : ClaimState
        State of the claim.
    request_id, attempt_id, entry : str
        Request, attempt and entry that hold the claim.
    targets : tuple of Target
        All upstreams named by the holder.
    opened_ms, deadline_ms, settled_ms : int
        Wall times in milliseconds; the first and the last are from the clock of the leader.
    settled_by : SettledBy
        Who settled the claim.
    freed : tuple of str
        Ids of attempts that were settled as not run, newest last.
    answer : int
        Location of the recorded answer, packed by `pack_location`; `NO_ANSWER` if there is none.
    """

    stage: str
    state: ClaimState = ClaimState.FREE
    request_id: str = ""
    attempt_id: str = ""
    entry: str = ""
    targets: tuple[Target, ...] = ()
    opened_ms: int = 0
    deadline_ms: int = 0
    settled_ms: int = 0
    settled_by: SettledBy = SettledBy.ATTEMPT
    freed: tuple[str, ...] = ()
    answer: int = NO_ANSWER


class KeyClaims(msgspec.Struct, array_like=True, kw_only=True, gc=False):
    """
    The claims of one idempotency key.

    Parameters
    ----------
    digest : str
        Digest of the request that uses the key.
    claims : tuple of Claim
        One for each stage.
    """

    digest: str
    claims: tuple[Claim, ...]

    def find(self, stage: str) -> Claim | None:
        """Return the claim of a stage, if any."""
        for claim in self.claims:
            if claim.stage == stage:
                return claim
        return None

    def is_free(self) -> bool:
        """Tell whether every claim of the key is free."""
        return all(claim.state is ClaimState.FREE for claim in self.claims)


class ClaimResult(msgspec.Struct):
    """
    Result of a claim command.

    Parameters
    ----------
    reply : ClaimReply
        Reply to the sender, without the answer.
    answer : Location or None
        Location of the stored answer of a done claim.
    """

    reply: ClaimReply
    answer: Location | None = None


class ArchivedClaims(msgspec.Struct):
    """
    Result of a claim command for a key that has only archived claims.

    Parameters
    ----------
    locations : list of Location
        Possible locations of the stored answers of the key.
    """

    locations: list[Location]


class PendingClaim(NamedTuple):
    """
    A claim that the sweeper has to settle.

    Parameters
    ----------
    client_account, idempotency_key : str
        Key of the claim.
    claim : Claim
        The claim.
    """

    client_account: str
    idempotency_key: str
    claim: Claim
