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
    Place of an entry in the segments.

    Parameters
    ----------
    segment : int
        Number of the segment.
    offset : int
        First byte of the entry in it.
    """

    segment: int
    offset: int


# A location in one integer takes 32 bytes; the tuple and its two integers take 130.
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
        From `pack_location`.

    Returns
    -------
    Location or None
        The location.
    """
    if packed == NO_ANSWER:
        return None
    return Location(packed >> _OFFSET_BITS, packed & (1 << _OFFSET_BITS) - 1)


class Target(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """
    An upstream that the claimed call may have been sent to.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    outcome_path : str
        Path that tells the outcome of an attempt; empty if it cannot be asked.
    outcome_final : bool
        Whether its "not found" excludes a later run.
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
        Its state.
    request_id, attempt_id, entry : str
        Holder of the claim.
    targets : tuple of Target
        Every upstream that the holder has named.
    opened_ms, deadline_ms, settled_ms : int
        Wall times in milliseconds; the first and last are the leader's.
    settled_by : SettledBy
        Who settled it.
    freed : tuple of str
        Attempts that did not run, newest last.
    answer : int
        Where the recorded answer is, as `pack_location` returns it; `NO_ANSWER` if there is none.
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
    The claims under one idempotency key.

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
        """Tell whether no stage holds the key."""
        return all(claim.state is ClaimState.FREE for claim in self.claims)


class ClaimResult(msgspec.Struct):
    """
    Result of a claim command.

    Parameters
    ----------
    reply : ClaimReply
        Reply to the caller, without the answer.
    answer : Location or None
        Where the answer of a claim that is done is stored.
    """

    reply: ClaimReply
    answer: Location | None = None


class ArchivedClaims(msgspec.Struct):
    """
    Result of a claim command for a key of which only archived claims are known.

    Parameters
    ----------
    locations : list of Location
        Where the stored answers of the key may be.
    """

    locations: list[Location]


class PendingClaim(NamedTuple):
    """
    A claim that the sweeper watches.

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
