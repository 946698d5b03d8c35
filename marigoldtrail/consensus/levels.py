"""Feature levels: which commands the hosts of a group can apply, release by release."""

from __future__ import annotations

import logging

from marigoldtrail.consensus.primitives import FeatureLevels, StateMachine
from marigoldtrail.consensus.state import LEADER, GroupState, stop_campaigns
from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.schema.generated.consensus import StoredSnapshot

_log = logging.getLogger(__name__)


def get_command_level(machine: StateMachine) -> int:
    """Return the highest level of the commands that a machine supports."""
    return machine.command_level if isinstance(machine, FeatureLevels) else 0


def get_state_level(machine: StateMachine) -> int:
    """Return the level that is needed to restore the present state of a machine."""
    return machine.get_state_level() if isinstance(machine, FeatureLevels) else 0


def has_level(state: GroupState, level: int) -> bool:
    """
    Tell whether every member can apply the commands of a level.

    Each leader learns the levels anew from the replies in its term. A voter that has not replied
    yet counts as one of the lowest level; a learner counts once it has replied.

    Parameters
    ----------
    state : GroupState
        The group.
    level : int
        The feature level.

    Returns
    -------
    bool
        True if this host leads and all voters and learners have stated the level.
    """
    if state.role != LEADER or get_command_level(state.machine) < level:
        return False
    levels = {peer.storage_id: peer.level for peer in state.peers.values() if peer.storage_id}
    voters = {member.storage_id for member in state.log.voters} - {state.storage_id}
    return all(levels.get(storage_id, 0) >= level for storage_id in voters | set(levels))


def hold_at_unsupported_command(state: GroupState, index: int, detail: str) -> None:
    """
    Apply nothing more on this host, because a later release wrote a command to the log.

    The host goes on storing the log and voting, so that nothing is lost; it never leads. The
    command is applied by the release that supports it.

    Parameters
    ----------
    state : GroupState
        The group.
    index : int
        Log index of the command.
    detail : str
        Why the command is not supported.
    """
    if state.held_index == index:
        return
    state.held_index = index
    _log.error(
        "group %s: the command at index %d needs a later release; nothing after it is applied"
        " on this host: %s",
        state.name, index, detail,
    )  # fmt: skip
    stop_campaigns(state, f"the command at index {index} needs a later release")


def build_level_failure(state: GroupState, snapshot: StoredSnapshot) -> Failure:
    """Log and return the failure of a snapshot that needs a later release."""
    detail = (
        f"the snapshot at index {snapshot.index} needs a release of feature level"
        f" {snapshot.level}; this one has level {get_command_level(state.machine)}"
    )
    if state.refused_snapshot != snapshot.index:
        state.refused_snapshot = snapshot.index
        _log.error("group %s: %s", state.name, detail)
    return Failure(
        reason=Reason.BAD_REQUEST,
        run_state=RunState.NOT_RUN,
        step="snapshot.install",
        peer=state.host,
        detail=detail,
    )
