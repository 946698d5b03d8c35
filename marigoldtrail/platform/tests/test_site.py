"""Complete site in memory: bootstrap, configuration, requests, host failures."""

import msgspec
import trio

from marigoldtrail.platform.tests.standin import CALLER_IP, DATA_CENTRES, Site, config


async def start_serving_site(nursery, **fields):
    site = Site(nursery, **fields)
    await site.start()
    assert await site.put_config(config(1)) == 200

    async def is_ready():
        replies = [await site.http(f"{ip}:8621", "GET", "/-/ready") for ip in site.entries]
        return all(reply is not None and reply[0] == 200 for reply in replies)

    await site.wait(is_ready)
    return site


def voters(site, ip):
    group = site.hosts[ip].groups["config"]
    return {member.host.partition(":")[0] for member in group._state.log.voters}


async def test_seeds_bootstrap_the_fleet_and_others_join(autojump_clock, nursery):
    """Guards against a fleet that needs manual steps or a list of its members to start."""
    site = await start_serving_site(nursery, control=5)

    async def all_vote():
        return all(voters(site, ip) == set(site.control) for ip in site.control)

    await site.wait(all_vote)


async def test_plain_request_is_answered(autojump_clock, nursery):
    """Guards against a broken path from the caller to an upstream."""
    site = await start_serving_site(nursery)
    status, headers, body = await site.send_request("/plain/1")
    assert status == 200 and msgspec.json.decode(body)["by"].startswith("desk-")
    assert headers[b"x-response-seal"].startswith(b"seal-desk-")
    assert (await site.send_request("/none/1"))[0] == 404
    assert (await site.send_request("/plain/1", key="wrong"))[0] == 401


async def test_stages_run_before_the_engine(autojump_clock, nursery):
    """Guards against an engine that does not get the results of the last stage."""
    site = await start_serving_site(nursery)
    # Each upstream has memory for one result, so that all results have to be freed.
    assert await site.put_config(config(2, room_mb=0.002)) == 200
    await trio.sleep(0.5)
    fields = [("x-pieces", "2,1"), ("x-piece-key", "pk"), ("x-token-count", "900,30")]
    status, _, body = await site.send_request("/ask/1", headers=fields, body=b"prompt")
    assert status == 200 and body.count(b"data: ") == 3
    runs = [r for _, r in site.seen if r.path == "/-/stage-run"]
    items = [item for run in runs for item in msgspec.json.decode(run.body)["items"]]
    assert sorted((i["stage"], i["piece"]) for i in items) == [(0, 0), (0, 1), (1, 0)]
    assert len(next(i for i in items if i["stage"] == 1)["inputs"]) == 2
    engine = next(r for _, r in site.seen if r.path == "/ask/1")
    assert "-1-0" in engine.headers["x-inputs"] and "," not in engine.headers["x-inputs"]
    await trio.sleep(1)
    freed = [h for _, r in site.seen if r.path == "/-/stage-free" for h in
             msgspec.json.decode(r.body)["handles"]]  # fmt: skip
    assert len(freed) == 3 and len(set(freed)) == 3


async def test_look_up_returns_entries_that_serve(autojump_clock, nursery):
    """Guards against directing callers to an entry that has stopped."""
    site = await start_serving_site(nursery)

    async def addresses():
        path = "/-/resolve?name=a.example&region=r&zone=dc-a"
        reply = await site.http(f"{site.control[0]}:8620", "GET", path, source=CALLER_IP)
        return msgspec.json.decode(reply[2])["addresses"] if reply and reply[0] == 200 else []

    async def returns_addresses(count):
        return len(await addresses()) == count

    await site.wait(lambda: returns_addresses(2))
    await site.crash(site.entries[1])
    await site.wait(lambda: returns_addresses(1), timeout_s=3)
    assert await addresses() == [f"{site.entries[0]}:8625"]


async def test_configuration_version_never_decreases(autojump_clock, nursery):
    """Guards against an older or invalid configuration in force and a refused repetition."""
    site = await start_serving_site(nursery)
    assert await site.put_config(config(5)) == 200
    assert await site.put_config(config(5)) == 200
    other = config(5, routes=[])
    assert await site.put_config(other) == 200
    assert await site.put_config(config(3)) == 200
    assert await site.put_config(config(9)[:-9]) == 400
    assert await site.put_config(config(9, services=[])) == 400
    for ip in site.control:
        status, _, body = await site.http(f"{ip}:8628", "GET", "/-/config")
        assert status == 200 and body == config(5)


async def test_new_configuration_reaches_entries_immediately(autojump_clock, nursery):
    """Guards against handling requests by an older configuration long after a change."""
    site = await start_serving_site(nursery)
    assert (await site.send_request("/plain/1"))[0] == 200
    assert await site.put_config(config(2, tenants=[{"name": "acme", "api_keys": ["new"]}])) == 200
    await trio.sleep(0.2)
    for entry in range(2):
        assert (await site.send_request("/plain/1", entry=entry))[0] == 401
        assert (await site.send_request("/plain/1", entry=entry, key="new"))[0] == 200


async def test_no_requests_to_leaving_upstreams_and_evacuated_data_centres(autojump_clock, nursery):
    """Guards against requests to upstreams that are leaving or out of service."""
    site = await start_serving_site(nursery)
    next(e for e in site.list if e["id"] == "desk-0")["state"] = "draining"
    path = f"/-/evacuations/{DATA_CENTRES[1]}"
    assert (await site.http(f"{site.control[0]}:8628", "POST", path))[0] == 200
    assert (await site.http(f"{site.control[1]}:8628", "POST", path))[0] == 200
    await trio.sleep(2.5)
    site.seen.clear()
    for number in range(12):
        assert (await site.send_request("/plain/1", entry=number % 2))[0] == 200
    assert {name for name, r in site.seen if r.path == "/plain/1"} == {"desk-2"}
    assert (await site.http(f"{site.control[2]}:8628", "DELETE", path))[0] == 200
    await trio.sleep(1)
    for number in range(12):
        assert (await site.send_request("/plain/1", entry=number % 2))[0] == 200
    assert {name for name, r in site.seen if r.path == "/plain/1"} == {"desk-1", "desk-2"}
    assert (await site.http(f"{site.control[0]}:8628", "POST", "/-/evacuations/nowhere"))[0] == 404


async def test_leader_failure_loses_no_acknowledged_change(autojump_clock, nursery):
    """Guards against losing acknowledged changes, or service, when the leader fails."""
    site = await start_serving_site(nursery)
    for version in range(2, 5):
        assert await site.put_config(config(version)) == 200
        leader = next(ip for ip in site.control if site.hosts[ip].groups["config"].is_leader)
        await site.crash(leader)
        assert (await site.send_request("/plain/1"))[0] == 200
        await site.start_host(leader)

        async def is_read_back(version=version):
            reply = await site.http(f"{site.control[0]}:8628", "GET", "/-/config")
            return reply is not None and reply[0] == 200 and reply[2] == config(version)

        await site.wait(is_read_back)


async def test_power_failure_of_all_hosts_loses_no_acknowledged_change(autojump_clock, nursery):
    """Guards against losing acknowledged changes, and against a fleet that does not recover."""
    site = await start_serving_site(nursery)
    assert await site.put_config(config(7)) == 200
    for ip in site.control + site.entries:
        await site.crash(ip)
    for ip in site.control + site.entries:
        await site.start_host(ip)

    async def serves():
        reply = await site.send_request("/plain/1")
        return reply is not None and reply[0] == 200

    await site.wait(serves, timeout_s=6)
    status, _, body = await site.http(f"{site.control[1]}:8628", "GET", "/-/config")
    assert status == 200 and body == config(7)


async def test_host_with_an_empty_disk_rejoins(autojump_clock, nursery):
    """Guards against votes of a host that lost its log, and counting its old identity."""
    site = await start_serving_site(nursery)
    assert await site.put_config(config(2)) == 200
    lost = site.control[0]
    old = site.hosts[lost].groups["config"]._state.storage_id
    await site.crash(lost, empty=True)
    await site.start_host(lost)

    async def has_joined():
        host = site.hosts[site.control[1]]
        ids = {m.storage_id for m in host.groups["config"]._state.log.voters}
        return len(ids) == 3 and old not in ids

    await site.wait(has_joined)


async def test_permanently_lost_host_is_removed_from_the_voters(autojump_clock, nursery):
    """Guards against a quorum that counts a permanently lost host."""
    site = await start_serving_site(nursery, control=4)

    async def all_vote():
        return voters(site, site.control[1]) == set(site.control)

    await site.wait(all_vote)
    await site.crash(site.control[0])

    async def is_removed():
        return voters(site, site.control[1]) == set(site.control[1:])

    await site.wait(is_removed, timeout_s=15)


async def test_stages_continue_at_another_scheduler(autojump_clock, nursery):
    """Guards against requests that fail when the host that schedules their stages fails."""
    site = await start_serving_site(nursery)
    entry = site.hosts[site.entries[0]]
    scheduler = entry.pieces.choose_scheduler().partition(":")[0]
    replies = []

    async def send_request(number):
        fields = [("x-pieces", "4,2"), ("x-piece-key", "pk"), ("x-token-count", "900,30")]
        reply = await site.send_request(
            "/ask/1", request_id=f"id-{number}", headers=fields, body=b"p"
        )
        replies.append(reply and reply[0])

    async with trio.open_nursery() as request_tasks:
        for number in range(6):
            request_tasks.start_soon(send_request, number)
        await trio.sleep(0.06)
        await site.crash(scheduler)
    assert replies == [200] * 6


async def test_data_centre_without_hosts_and_upstreams_can_be_taken_out(autojump_clock, nursery):
    """Guards against refusing to take out a data centre that has no host left."""
    site = await start_serving_site(nursery)
    lost = DATA_CENTRES[2]
    await site.crash(site.control[2])
    site.list[:] = [entry for entry in site.list if entry["zone"] != lost]
    await trio.sleep(5)
    path = f"/-/evacuations/{lost}"
    assert (await site.http(f"{site.control[0]}:8628", "POST", path))[0] == 200
    unknown = "/-/evacuations/nowhere"
    assert (await site.http(f"{site.control[0]}:8628", "POST", unknown))[0] == 404
