"""History of software versions in the state machine of group config."""

from marigoldtrail.control.commands import AddVersions, PutStreams, RemoveVersion, encode_command
from marigoldtrail.control.machine import ConfigMachine


def make_machine(*commands):
    machine = ConfigMachine()
    for index, command in enumerate(commands, start=1):
        machine.apply(index, encode_command(command))
    return machine


def test_unrecorded_stream_has_the_oldest_version_of_its_service():
    """Guards against a default that changes while streams of the old one may be resumed."""
    ledger = make_machine(
        AddVersions(versions={"s": ["v1"], "t": ["w1"]}),
        AddVersions(versions={"s": ["v2"]}),
        AddVersions(versions={"s": ["v1", "v2"]}),
        PutStreams(streams={b"new": "v2"}),
    ).state.versions
    assert ledger.services == {"s": ["v1", "v2"], "t": ["w1"]}
    assert ledger.find_version("s", b"old") == "v1"
    assert ledger.find_version("s", b"new") == "v2"
    assert ledger.find_version("unknown", b"old") is None


def test_unnamed_stream_is_known_only_beside_a_single_version():
    """Guards against a guess about a stream that its caller does not name."""
    machine = make_machine(AddVersions(versions={"s": ["v1", "v2"]}))
    assert machine.state.versions.find_version("s", b"") is None
    machine.apply(2, encode_command(RemoveVersion(service="s", version="v1")))
    assert machine.state.versions.find_version("s", b"") == "v2"


def test_latest_record_of_a_stream_wins_and_old_records_are_dropped():
    """Guards against a stream that moved before its first event, and unbounded records."""
    machine = make_machine(
        AddVersions(versions={"s": ["v1", "v2"]}),
        PutStreams(streams={b"a": "v2", b"b": "v2"}),
        PutStreams(streams={b"a": "v1", b"c": "v2"}),
        PutStreams(streams={b"d": "v2"}, drop_through=2),
    )
    ledger = machine.state.versions
    assert list(ledger.streams) == [b"a", b"c", b"d"]
    assert ledger.find_version("s", b"a") == "v1" and ledger.oldest_index() == 3
    copy = ConfigMachine()
    copy.restore(machine.snapshot())
    assert copy.state == machine.state
