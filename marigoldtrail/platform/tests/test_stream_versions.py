"""Streams that callers resume while several software versions are in service, on a whole site."""

import random
import re

import pytest
import trio

from marigoldtrail.platform.standin import make_resume_headers, make_route
from marigoldtrail.platform.tests.standin import EVENTS, KEY, config
from marigoldtrail.platform.tests.test_site import start_serving_site

OLD, NEW = "v1", "v2"
STREAMS = 24


async def start_mixed_site(nursery, **fields):
    """Return a site with as many engines of a new version as of the old one."""
    site = await start_serving_site(nursery, engines=3, entries=3, **fields)
    for number in range(3):
        await site.add_upstream(f"new-{number}", "llm", f"dc-{'abc'[number]}", version=NEW)
    await trio.sleep(2)
    return site


def read_versions(reply):
    """Return the software version of each event of an answer."""
    return re.findall(rb"data: (\S+)", reply[2]) if reply is not None else []


async def begin_streams(site, *, entry=0, count=STREAMS):
    """Begin streams; return the version that began each, by request id."""
    found = {}
    for number in range(count):
        request_id = f"first-{entry}-{number}"
        reply = await site.send_request("/talk/1", entry=entry, request_id=request_id, body=b"p")
        versions = read_versions(reply)
        assert reply[0] == 200 and len(versions) == EVENTS and len(set(versions)) == 1
        found[request_id] = versions[0].decode()
    return found


async def resume_stream(site, request_id, *, entry=1, last_event="1", key=KEY):
    headers = make_resume_headers(request_id, last_event)
    again = f"again-{entry}-{request_id}"
    return await site.send_request(
        "/talk/1", entry=entry, request_id=again, key=key, headers=headers, body=b"p"
    )


async def resume_streams(site, began, *, entry=1, key=KEY):
    """Resume all streams; return the versions of the events of those that went on."""
    replies = {}
    for request_id in began:
        reply = await resume_stream(site, request_id, entry=entry, key=key)
        assert reply[0] in (200, 503)
        if reply[0] == 200:
            versions = {version.decode() for version in read_versions(reply)}
            replies[request_id] = versions
    return replies


def assert_all_went_on(began, resumed):
    assert resumed == {request_id: {version} for request_id, version in began.items()}
    assert set(began.values()) == {OLD, NEW}


async def restart(site, ips, *, down_s=1.0):
    for ip in ips:
        await site.crash(ip)
    await trio.sleep(down_s)
    for ip in ips:
        await site.start_host(ip)


async def wait_until_ready(site):
    async def is_ready():
        replies = [await site.http(f"{ip}:8621", "GET", "/-/ready") for ip in site.entries]
        return all(reply is not None and reply[0] == 200 for reply in replies)

    await site.wait(is_ready)


async def test_stream_resumed_at_another_entry_continues_at_the_version_that_began_it(
    autojump_clock, nursery
):
    """Guards against a stream whose attempts hold events of two software versions."""
    site = await start_mixed_site(nursery)
    began = await begin_streams(site)
    assert_all_went_on(began, await resume_streams(site, began))


async def test_version_of_a_stream_is_known_after_all_entries_were_killed(autojump_clock, nursery):
    """Guards against versions that only the memory of the entries holds."""
    site = await start_mixed_site(nursery)
    began = await begin_streams(site)
    await restart(site, site.entries)
    await wait_until_ready(site)
    assert_all_went_on(began, await resume_streams(site, began))


async def test_version_of_a_stream_is_known_after_a_power_failure_of_all_hosts(
    autojump_clock, nursery
):
    """Guards against versions that are not durable before the caller has an event."""
    site = await start_mixed_site(nursery)
    began = await begin_streams(site)
    await restart(site, site.entries + site.control)
    await wait_until_ready(site)
    assert_all_went_on(began, await resume_streams(site, began))


async def test_version_of_a_stream_is_known_to_the_next_leader(autojump_clock, nursery):
    """Guards against versions that only the leader holds."""
    site = await start_mixed_site(nursery)
    began = await begin_streams(site)
    leader = next(ip for ip in site.control if site.hosts[ip].groups["config"].is_leader)
    await site.crash(leader)
    await trio.sleep(4)
    assert_all_went_on(began, await resume_streams(site, began))


async def test_streams_of_a_version_that_has_left_are_refused_and_others_go_on(
    autojump_clock, nursery
):
    """Guards against a stream of the version that left, continued by the one that replaced it."""
    site = await start_serving_site(nursery, engines=3, entries=3)
    old = await begin_streams(site)
    for number in range(3):
        await site.add_upstream(f"new-{number}", "llm", "dc-a", version=NEW)
    site.list[:] = [entry for entry in site.list if not entry["id"].startswith("llm-")]
    await trio.sleep(2)
    new = await begin_streams(site, entry=1)
    await restart(site, site.entries)
    await wait_until_ready(site)
    assert set(old.values()) == {OLD} and set(new.values()) == {NEW}
    assert await resume_streams(site, old, entry=2) == {}
    resumed = await resume_streams(site, new, entry=2)
    assert resumed == {request_id: {NEW} for request_id in new}


async def test_stream_of_an_unknown_version_is_refused_at_once(autojump_clock, nursery):
    """Guards against a guess, and against a caller that waits in vain for it."""
    site = await start_mixed_site(nursery)
    began = await begin_streams(site)
    started, calls = trio.current_time(), len(site.seen)
    status, headers, body = await resume_stream(site, "")
    assert status == 503 and b"version" in body and b"retry-after" in headers
    for ip in site.control:
        await site.crash(ip)
    status, _, body = await resume_stream(site, next(iter(began)))
    assert status == 503 and b"version" in body
    assert trio.current_time() - started < 1.5
    assert len(site.seen) == calls


async def test_new_streams_begin_while_there_is_no_leader(autojump_clock, nursery):
    """Guards against streams that wait for a record that nobody can make."""
    site = await start_mixed_site(nursery)
    for ip in site.control:
        await site.crash(ip)
    await trio.sleep(2)
    assert set((await begin_streams(site)).values()) == {OLD}


async def crash_control(site):
    for ip in site.control:
        await site.crash(ip)


async def cut_control(site):
    """Cut the control hosts off from the entries; what is under way arrives once they return."""
    for ip in site.control:
        for entry in site.entries:
            site.network.cut(ip, entry)


async def begin_while_the_leader_is_lost(site):
    """Begin streams for 1.2 s; return the replies by request id, and the version of each begun."""
    replies = {}

    async def begin(request_id, entry):
        replies[request_id] = await site.send_request(
            "/talk/1", entry=entry, request_id=request_id, body=b"p"
        )

    async with trio.open_nursery() as callers:
        for number in range(STREAMS):
            callers.start_soon(begin, f"lost-{number}", number % 3)
            await trio.sleep(0.05)
    began = {name: read_versions(reply) for name, reply in replies.items() if reply}
    return replies, {name: versions[0].decode() for name, versions in began.items() if versions}


@pytest.mark.parametrize("lose_control", [crash_control, cut_control])
@pytest.mark.parametrize("seed", [1, 2])
async def test_new_streams_do_not_wait_for_a_record_until_their_deadline(
    autojump_clock, nursery, lose_control, seed
):
    """Guards against callers that hear nothing because the leader was lost a moment ago."""
    site = await start_mixed_site(nursery, seed=seed)
    await lose_control(site)
    replies, began = await begin_while_the_leader_is_lost(site)
    refused = {name: reply for name, reply in replies.items() if name not in began}
    assert len(began) > STREAMS / 2
    for status, headers, body in refused.values():
        assert status == 502 and b"version" in body
        assert float(headers[b"retry-after"]) < 0.5
    for request_id in refused:
        reply = await site.send_request("/talk/1", request_id=f"later-{request_id}", body=b"p")
        assert reply[0] == 200 and len(read_versions(reply)) == EVENTS


async def test_stream_that_moved_because_its_record_was_not_sent_keeps_its_new_version(
    autojump_clock, nursery
):
    """Guards against a withdrawn record that a later leader still gets."""
    site = await start_mixed_site(nursery)
    await crash_control(site)
    _, began = await begin_while_the_leader_is_lost(site)
    sent = {(name[:3], request.headers["x-request-id"]) for name, request in site.seen}
    assert any(("new", request_id) in sent and version == OLD
               for request_id, version in began.items())  # fmt: skip
    for ip in site.control:
        await site.start_host(ip)
    await trio.sleep(5)
    for entry in range(3):
        resumed = await resume_streams(site, began, entry=entry)
        assert all(versions == {began[request_id]} for request_id, versions in resumed.items())
        assert len(resumed) > STREAMS / 2


async def test_stream_does_not_move_to_another_version_than_a_record_on_its_way(
    autojump_clock, nursery
):
    """Guards against a record that a cut-off entry sent, and that arrives after the first event."""
    site = await start_mixed_site(nursery)
    await cut_control(site)
    _, began = await begin_while_the_leader_is_lost(site)
    for ip in site.control:
        for entry in site.entries:
            site.network.restore(ip, entry)
    await trio.sleep(3)
    for entry in range(3):
        resumed = await resume_streams(site, began, entry=entry)
        assert all(versions == {began[request_id]} for request_id, versions in resumed.items())
        assert len(resumed) > STREAMS / 2


async def test_streams_that_would_wait_in_vain_are_refused_before_an_upstream_runs_them(
    autojump_clock, nursery
):
    """Guards against prompts that are read for callers who can get no event."""
    site = await start_mixed_site(nursery)
    site.list[:] = [entry for entry in site.list if not entry["id"].startswith("llm-")]
    await trio.sleep(2)
    await crash_control(site)
    await trio.sleep(2.5)
    calls = len(site.seen)
    status, headers, body = await site.send_request("/talk/1", request_id="late", body=b"p")
    assert status == 503 and b"version" in body and float(headers[b"retry-after"]) >= 0.5
    assert len(site.seen) == calls


@pytest.mark.parametrize("number", range(3))
async def test_stream_resumes_while_a_control_host_is_out_of_its_group_because_of_its_disk(
    autojump_clock, nursery, number
):
    """Guards against the failure of one host's disk that is taken for the answer of the leader."""
    site = await start_mixed_site(nursery)
    began = await begin_streams(site)
    stopped = site.control[number]
    site.disks[stopped].fail_syncs = True
    await site.add_upstream("later", "llm", "dc-a", version="v3")
    await trio.sleep(4)
    assert site.hosts[stopped].groups["config"].stop_failure is not None
    for entry in range(3):
        finder = site.hosts[site.entries[entry]].components.reporter.finder
        for request_id in list(began)[:6]:
            # An entry that knows no leader asks the control hosts in turn.
            finder._leaders.clear()
            reply = await resume_stream(site, request_id, entry=entry)
            assert reply[0] == 200


def make_config(version, *, accounts, more_routes=(), **route):
    """Return a configuration with one route for streams."""
    fields = {"resumable": True, "max_attempts": 2, "public": False, **route}
    name, kind = fields.pop("name", "talk"), fields.pop("kind", "streaming")
    routes = [make_route(name, "/talk/", kind, "llm", **fields), *more_routes]
    names = [{"name": name, "api_keys": list(keys)} for name, keys in accounts.items()]
    return config(version, routes=routes, tenants=names)


ACME = {"acme": [KEY]}
# What a configuration may change while streams are in progress: the fields before and after it.
CHANGES = {
    "key moves": ({}, {"accounts": {"acme": [], "other": [KEY]}}),
    "account is renamed": ({}, {"accounts": {"acme-2": [KEY]}}),
    "account is renamed and key replaced": ({}, {"accounts": {"acme-2": ["k-new"]}}),
    "route becomes public": ({}, {"public": True, "accounts": {}}),
    "route ceases to be public": ({"public": True, "accounts": {}}, {}),
    "streams may be resumed": ({"resumable": False}, {}),
    "streams may no longer be resumed": ({}, {"resumable": False}),
    "route is no longer for streams": ({}, {"kind": "safe"}),
    "route has another name": ({}, {"name": "chat"}),
    "longer prefix": (
        {},
        {"more_routes": [make_route("new", "/talk/1", "streaming", "llm", public=True)]},
    ),
    "times, rank and attempts": (
        {},
        {"timeout_ms": 9000, "priority": 2, "max_attempts": 1, "gap_aim_ms": 500},
    ),
}


@pytest.mark.parametrize("change", CHANGES)
async def test_version_of_a_stream_outlives_changes_of_the_configuration(
    autojump_clock, nursery, change
):
    """Guards against streams that are known by something that a configuration may change."""
    before, after = CHANGES[change]
    site = await start_mixed_site(nursery)
    assert await site.put_config(make_config(2, **{"accounts": ACME, **before})) == 200
    await trio.sleep(2)
    began = await begin_streams(site)
    assert await site.put_config(make_config(4, **{"accounts": ACME, **after})) == 200
    await trio.sleep(2)
    await site.crash(site.entries[0])
    key = "k-new" if "replaced" in change else KEY
    assert_all_went_on(began, await resume_streams(site, began, key=key))


def make_split_config(version, *, llm, twin):
    """Return a configuration with one route that divides its streams between two services."""
    engine = {"slots": 8, "kv_capacity": 100000}
    services = [{"name": n, "max_connections": 50, "engine": engine} for n in ("llm", "twin")]
    targets = [{"service": "llm", "weight": llm}, {"service": "twin", "weight": twin}]
    route = make_route("talk", "/talk/", "streaming", "llm", resumable=True, max_attempts=2)
    route = {**route, "service": None, "split": targets}
    return config(version, routes=[route], services=services)


@pytest.mark.parametrize("is_killed", [True, False])
async def test_stream_stays_at_its_service_when_the_shares_of_a_split_change(
    autojump_clock, nursery, is_killed
):
    """Guards against a resumed stream that goes to the service which it would be given by now."""
    site = await start_mixed_site(nursery)
    for number in range(2):
        await site.add_upstream(f"twin-{number}", "twin", f"dc-{'abc'[number]}")
    assert await site.put_config(make_split_config(2, llm=100, twin=0)) == 200
    await trio.sleep(2)
    began = await begin_streams(site, count=12)
    assert await site.put_config(make_split_config(4, llm=1, twin=99)) == 200
    await trio.sleep(1)
    if is_killed:
        await site.crash(site.entries[0])
    assert_all_went_on(began, await resume_streams(site, began))


def draw_change(rng):
    """Return the fields of a random configuration, and the key that callers then have."""
    key = rng.choice([KEY, "k-new"])
    fields = {
        "accounts": {"acme": [], rng.choice(["acme", "acme-2", "other"]): [key]},
        "public": rng.random() < 0.3,
        "resumable": rng.random() < 0.7,
        "name": rng.choice(["talk", "chat"]),
        "priority": rng.randrange(3),
    }
    return fields, key


@pytest.mark.parametrize("seed", range(3))
async def test_streams_keep_their_version_beside_changes_and_kills(autojump_clock, nursery, seed):
    """Guards against orders of changes, kills and take-ups that no single case plays."""
    rng = random.Random(seed)
    site = await start_mixed_site(nursery)
    key, began = KEY, {}
    for number in range(6):
        fields, new_key = draw_change(rng)
        for count in range(5):
            request_id = f"first-{number}-{count}"
            entry = rng.randrange(3)
            reply = await site.send_request(
                "/talk/1", entry=entry, request_id=request_id, key=key, body=b"p"
            )
            began[request_id] = {version.decode() for version in read_versions(reply)}
        assert await site.put_config(make_config(2 * number + 2, **fields)) == 200
        key = new_key
        await trio.sleep(2)
        await restart(site, rng.sample(site.entries, rng.randrange(3)))
        if rng.random() < 0.4:
            await restart(site, [rng.choice(site.control)])
        await wait_until_ready(site)
        await trio.sleep(rng.choice([0, 3]))
        resumed = await resume_streams(site, began, entry=rng.randrange(3), key=key)
        assert resumed == began
    assert {OLD} in began.values() and {NEW} in began.values()
