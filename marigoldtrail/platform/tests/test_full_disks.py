"""Operators' changes while the disks of control hosts are full or fail, one after another."""

from functools import partial

import pytest
import trio

from marigoldtrail.platform.tests.standin import DATA_CENTRES, Site, config

FAILURE_S = 4.0
# The bound `ack_ms` of the smaller sites.
ACK_S = 4.0


def fill(disk, is_full):
    disk.capacity_bytes = sum(len(file.data) for file in disk.files.values()) if is_full else None


def refuse_syncs(disk, is_full):
    disk.fail_syncs = is_full


async def order(site, method, path):
    """Send an order to each control host in turn until one acknowledges it."""
    with trio.fail_after(ACK_S):
        while True:
            for ip in site.control:
                reply = await site.http(f"{ip}:8628", method, path)
                if reply is not None and reply[0] == 200:
                    return
            await trio.sleep(0.1)


async def send_changes(site, versions, duration_s):
    """Send a configuration and two orders each half second; each is acknowledged in time."""
    path = f"/-/evacuations/{DATA_CENTRES[1]}"
    end = trio.current_time() + duration_s
    while trio.current_time() < end:
        assert await site.put_config(config(next(versions)), timeout_s=ACK_S) == 200
        await order(site, "POST", path)
        await order(site, "DELETE", path)
        await trio.sleep(0.5)


async def fail_in_turn(site, disks, fail, versions):
    """Let disks fail one after another, each beside changes."""
    for disk in disks:
        fail(disk, True)
        await send_changes(site, versions, FAILURE_S)
        fail(disk, False)
        await trio.sleep(1)


@pytest.mark.parametrize("fail", [fill, refuse_syncs])
async def test_changes_are_acknowledged_while_disks_fail_in_turn_and_long_after(
    autojump_clock, nursery, fail
):
    """Guards against orders that are refused to the end of the day after disks were full."""
    site = Site(nursery)
    await site.start()
    versions = iter(range(1, 10**6))
    assert await site.put_config(config(next(versions))) == 200
    await fail_in_turn(site, [site.disks[ip] for ip in site.control] * 2, fail, versions)
    await trio.sleep(30)
    await send_changes(site, versions, 5.0)
    newest = config(next(versions))
    assert await site.put_config(newest, timeout_s=ACK_S) == 200
    for ip in site.control:
        read = partial(site.http, f"{ip}:8628", "GET", "/-/config")
        assert (await read())[2] == newest
        assert site.hosts[ip].groups["config"].stop_failure is None


@pytest.mark.parametrize("fail", [fill, refuse_syncs])
async def test_changes_are_acknowledged_again_after_two_disks_failed_at_once(
    autojump_clock, nursery, fail
):
    """Guards against a fleet that stays without a quorum after most of its disks were full."""
    site = Site(nursery)
    await site.start()
    assert await site.put_config(config(1)) == 200
    for ip in site.control[:2]:
        fail(site.disks[ip], True)
    with trio.move_on_after(FAILURE_S):
        while True:
            await site.http(f"{site.control[2]}:8628", "PUT", "/-/config", body=config(2))
            await trio.sleep(0.2)
    for ip in site.control[:2]:
        fail(site.disks[ip], False)
    # The hosts open their files again within the longest pause, and elect a leader.
    await trio.sleep(6)
    assert await site.put_config(config(3), timeout_s=ACK_S) == 200
