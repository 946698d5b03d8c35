"""Versions of services and streams on the leading control host."""

import trio

from marigoldtrail.control.commands import PutManifest, encode_command
from marigoldtrail.control.machine import ConfigMachine
from marigoldtrail.errors import Reason, is_failure
from marigoldtrail.registry.service import RegistryService
from marigoldtrail.registry.version_service import RETENTION_S, VersionService
from marigoldtrail.schema.generated.registry import (
    FindStreamVersion,
    HostReport,
    RecordStreams,
    StreamVersion,
    UpstreamEntry,
)
from marigoldtrail.timers import Timers


class AppliedGroup:
    """A log group of one host that applies each command at once."""

    def __init__(self):
        self.machine = ConfigMachine()
        self.term = 1
        self.term_start_index = 0
        self.applied_index = 0

    def has_level(self, level):
        return True

    async def read_barrier(self, *, timeout_s):
        return None

    async def propose(self, command, *, timeout_s):
        self.applied_index += 1
        return self.machine.apply(self.applied_index, command)


def make_service(group):
    return VersionService(group=group, machine=group.machine, timers=Timers(seed=1))


def make_entries(*versions):
    return [
        UpstreamEntry(
            upstream=f"u-{version}", service="s", address="10.0.0.1:1", data_centre="a", slots=1,
            state="ready", version=version,
        )
        for version in versions
    ]  # fmt: skip


async def record(service, *keys):
    streams = [StreamVersion(key=key, version="v2") for key in keys]
    await service._record_streams(RecordStreams(streams=streams), "entry")


async def test_upstreams_of_a_new_version_are_withheld_until_the_log_holds_it(autojump_clock):
    """Guards against streams of a version that other hosts do not know of."""
    service = make_service(AppliedGroup())
    entries = make_entries("v1", "v2")
    assert service.select_known(entries) == []
    assert await service.add_missing(entries) is None
    assert service.select_known(entries) == entries


async def test_version_is_removed_when_no_stream_can_hold_it(autojump_clock):
    """Guards against a default that changes too early, and versions that are kept for ever."""
    service = make_service(AppliedGroup())
    await service.add_missing(make_entries("v1", "v2"))
    await service.remove_expired(make_entries("v1", "v2"))
    await trio.sleep(RETENTION_S - 1)
    await service.remove_expired(make_entries("v2"))
    assert service.ledger.services == {"s": ["v1", "v2"]}
    await trio.sleep(2)
    await service.remove_expired(make_entries("v2"))
    assert service.ledger.services == {"s": ["v2"]}
    await trio.sleep(RETENTION_S * 2)
    await service.remove_expired([])
    assert service.ledger.services == {"s": ["v2"]}


async def test_first_leader_knows_all_streams_also_after_its_first_configuration(autojump_clock):
    """Guards against streams of a new fleet that can't be resumed in its first minute."""
    group = AppliedGroup()
    service = make_service(group)
    # The configuration comes before the first list of upstreams.
    await group.propose(encode_command(make_manifest()), timeout_s=1.0)
    await service.add_missing(make_entries("v1"))
    await service.add_missing(make_entries("v1", "v2"))
    assert await find(service, b"began at v1") == "v1"


async def test_new_leader_counts_the_time_of_versions_and_records_anew(autojump_clock):
    """Guards against a version or a record that a new leader takes for long gone."""
    group = AppliedGroup()
    service = make_service(group)
    await service.add_missing(make_entries("v1", "v2"))
    await record(service, b"early")
    await trio.sleep(RETENTION_S * 2)
    group.term += 1
    await service.remove_expired(make_entries("v2"))
    await record(service, b"late")
    assert service.ledger.services == {"s": ["v1", "v2"]}
    assert list(service.ledger.streams) == [b"early", b"late"]


async def test_records_are_dropped_after_their_time(autojump_clock):
    """Guards against records that grow without bound while two versions are in service."""
    service = make_service(AppliedGroup())
    await service.add_missing(make_entries("v1", "v2"))
    for number in range(200):
        await record(service, b"%d" % number)
        await service.remove_expired(make_entries("v1", "v2"))
        await trio.sleep(1)
        assert len(service.ledger.streams) <= RETENTION_S + 8
    assert len(service.ledger.streams) >= RETENTION_S
    for _ in range(80):
        await service.remove_expired(make_entries("v1", "v2"))
        await trio.sleep(1)
    assert not service.ledger.streams


class MixedGroup(AppliedGroup):
    """A group with a member of a release that can't apply the commands of versions."""

    def __init__(self):
        super().__init__()
        self.is_mixed = True
        self.machine.apply(0, encode_command(make_manifest()))

    def has_level(self, level):
        return not self.is_mixed


def make_manifest():
    return PutManifest(
        number=1, digest="d", document=b"", concurrent_loads=0, operator="o", wall_ms=0
    )


async def find(service, key):
    reply = await service._find_stream_version(FindStreamVersion(service="s", key=key), "entry")
    return reply.version if reply.is_known else None


async def test_log_gets_no_versions_while_a_member_can_not_apply_them(autojump_clock):
    """Guards against hosts of an earlier release whose state lacks what they can't read."""
    group = MixedGroup()
    service = make_service(group)
    entries = make_entries("v1", "v2")
    assert await service.add_missing(entries) is None
    await record(service, b"k")
    await service.remove_expired(entries)
    assert group.applied_index == 0
    assert service.select_known(entries) == entries
    assert await find(service, b"k") == "v2"
    # The stream may have begun under another leader, which has its record.
    assert await find(service, b"other") is None
    await trio.sleep(RETENTION_S)
    assert await find(service, b"other") == "v1"


async def test_only_version_is_that_of_all_streams_while_a_member_is_of_an_earlier_release(
    autojump_clock,
):
    """Guards against streams that are refused though one version only is in service."""
    service = make_service(MixedGroup())
    await service.add_missing(make_entries("v1"))
    assert await find(service, b"any") == "v1"


async def test_versions_and_records_go_to_the_log_once_all_members_can_apply_them(autojump_clock):
    """Guards against records that are lost, or another default, as the last member is replaced."""
    group = MixedGroup()
    service = make_service(group)
    await service.add_missing(make_entries("v2"))
    await service.add_missing(make_entries("v1", "v2"))
    streams = [StreamVersion(key=b"k", version="v1")]
    await service._record_streams(RecordStreams(streams=streams), "entry")
    await trio.sleep(RETENTION_S)
    before = await find(service, b"k"), await find(service, b"other")
    group.is_mixed = False
    assert service.may_begin()
    await service.add_missing(make_entries("v1", "v2"))
    assert (await find(service, b"k"), await find(service, b"other")) == before == ("v1", "v2")
    assert not service.may_begin()
    durable = group.machine.state.versions
    assert durable.services == {"s": ["v2", "v1"]} and list(durable.streams) == [b"k"]
    await record(service, b"late")
    assert list(durable.streams) == [b"k", b"late"]
    # A member of an earlier release that comes later changes nothing: the log has its commands.
    group.is_mixed = True
    await record(service, b"later")
    assert list(durable.streams) == [b"k", b"late", b"later"]


async def test_record_made_while_the_log_begins_is_found_before_and_after(autojump_clock):
    """Guards against a record between the first commands of versions in the log."""
    group = MixedGroup()
    service = make_service(group)
    await service.add_missing(make_entries("v1", "v2"))
    await record(service, b"early")
    group.is_mixed = False
    assert await service._begin() is None
    await record(service, b"between")
    assert await find(service, b"early") == await find(service, b"between") == "v2"
    await service.add_missing(make_entries("v1", "v2"))
    assert await find(service, b"early") == await find(service, b"between") == "v2"


async def test_index_of_interim_records_drops_no_records_of_the_log(autojump_clock):
    """Guards against records that are dropped by an index counted in memory."""
    group = MixedGroup()
    service = make_service(group)
    await service.add_missing(make_entries("v1", "v2"))
    for number in range(90):
        await record(service, b"%d" % number)
        await trio.sleep(1)
    group.is_mixed = False
    propose = group.propose

    async def propose_beside_a_record(command, *, timeout_s):
        group.propose = propose
        result = await propose(command, timeout_s=timeout_s)
        await record(service, b"between")
        return result

    group.propose = propose_beside_a_record
    await service.add_missing(make_entries("v1", "v2"))
    assert [await find(service, key) for key in (b"60", b"89", b"between")] == ["v2"] * 3


async def test_interim_records_are_dropped_after_their_time(autojump_clock):
    """Guards against memory that grows while a member of an earlier release stays."""
    service = make_service(MixedGroup())
    await service.add_missing(make_entries("v1", "v2"))
    for number in range(200):
        await record(service, b"%d" % number)
        await service.remove_expired(make_entries("v1", "v2"))
        await trio.sleep(1)
        assert len(service.ledger.streams) <= RETENTION_S + 8
    assert len(service.ledger.streams) >= RETENTION_S


async def test_new_leader_knows_no_interim_records_of_an_earlier_term(autojump_clock):
    """Guards against an outdated record of a host that leads again."""
    group = MixedGroup()
    service = make_service(group)
    await service.add_missing(make_entries("v1", "v2"))
    await record(service, b"k")
    group.term += 1
    assert await find(service, b"k") is None
    await service.add_missing(make_entries("v1", "v2"))
    assert await find(service, b"k") is None


class LeadingGroup(AppliedGroup):
    """A group of one host that leads, with an unread rest of the log until the barrier passes."""

    is_leader = True
    leader = "core-0"
    leads_with_whole_log = False


async def test_leader_sends_no_versions_before_it_has_read_its_log(autojump_clock):
    """Guards against a default version that an earlier state of the log names."""
    group = LeadingGroup()
    service = RegistryService(
        host="core-0", group=group, machine=group.machine, parse_document=str,
        read_upstreams=None, timers=Timers(seed=1),
    )  # fmt: skip
    await service._versions.add_missing(make_entries("v1"))
    request = HostReport(host="front-0", incarnation=1, role="entry", data_centre="a", region="r")
    refused = await service._handle_report(request, "front-0")
    assert is_failure(refused) and refused.reason is Reason.NOT_LEADER
    group.leads_with_whole_log = True
    reply = await service._handle_report(request, "front-0")
    assert reply.versions is None and "versions" not in reply.revisions
    await service._apply_list(service._current_registry(), make_entries("v1"))
    reply = await service._handle_report(request, "front-0")
    assert [entry.versions for entry in reply.versions] == [["v1"]]
