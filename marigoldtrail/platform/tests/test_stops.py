"""Callers of a host that stops, over real sockets."""

import logging
import random
import signal
import socket

import msgspec
import pytest
import trio

from marigoldtrail.errors import Failure, Reason, RunState
from marigoldtrail.net import TcpNetwork
from marigoldtrail.platform.adapter import build_adapter
from marigoldtrail.schema.generated.site import Bounds, SiteSettings, UpstreamList
from marigoldtrail.site.components import HostComponents
from marigoldtrail.site.control_host import DRAIN_DELAY_S, ControlHost
from marigoldtrail.site.entry_host import ADDRESS_EXPIRY_S, EntryHost
from marigoldtrail.site.launch import serve_site
from marigoldtrail.site.operations import Operations
from marigoldtrail.site.settings_file import SettingsFile
from marigoldtrail.testing import MemoryDisk
from marigoldtrail.timers import Timers

IP = "127.0.0.1"
LOOKUP = b"GET /-/resolve HTTP/1.1\r\nHost: a.example\r\n\r\n"
QUERY = b"GET /-/config HTTP/1.1\r\nHost: a.example\r\n\r\n"
REQUEST = b"GET /plain/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"
INCOMPLETE_REQUEST = b"POST /plain/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n\r\nbody"


class HookTimers(Timers):
    """Timers that call a function after each sleep of some length, before any other step."""

    __slots__ = ("hooks",)

    def __init__(self):
        super().__init__()
        self.hooks = {}

    async def sleep(self, seconds):
        """Sleep, then call the function for this length."""
        await super().sleep(seconds)
        self.hooks.get(seconds, lambda: None)()


def find_free_port():
    with socket.socket() as sock:
        sock.bind((IP, 0))
        return sock.getsockname()[1]


def connect(address, data=REQUEST):
    """Connect and send without a step of the host, so that the connection is in its queue."""
    ip, _, port = address.rpartition(":")
    sock = socket.create_connection((ip, int(port)))
    sock.sendall(data)
    return sock


def read_all(sock):
    """Read until the end of a connection; it must be closed by then."""
    sock.settimeout(2)
    data = b""
    while part := sock.recv(65536):
        data += part
    sock.close()
    return data


def make_settings(role, tmp_path):
    """Return the settings of a host without other hosts."""
    addresses = {
        name: f"{IP}:{find_free_port()}" for name in ("request", "ready", "operator", "lookup")
    }
    peer_port = find_free_port()
    return SiteSettings(
        host=role,
        role=role,
        data_centre="dc-a",
        region="r",
        ip=IP,
        seeds=[addresses["operator"]],
        internal_ports=[peer_port, peer_port],
        upstream_list=UpstreamList(address=f"{IP}:{find_free_port()}"),
        bounds=Bounds(),
        data_folder=str(tmp_path),
        first_start=True,
        **{f"{name}_address": address for name, address in addresses.items()},
    )


def make_components(nursery, role, tmp_path):
    """Return the components of a host without other hosts."""
    return HostComponents(
        cfg=make_settings(role, tmp_path),
        adapter=build_adapter(),
        network=TcpNetwork(),
        timers=HookTimers(),
        rng=random.Random(1),
        nursery=nursery,
    )


async def test_connections_in_the_queue_at_a_stop_get_an_answer(autojump_clock, tmp_path):
    """Guards against a stop that resets connections which no one has accepted yet."""
    callers = []
    async with trio.open_nursery() as nursery:
        components = make_components(nursery, "entry", tmp_path)
        address = components.cfg.request_address

        def connect_late():
            callers.extend(connect(address) for _ in range(20))

        components.timers.hooks[ADDRESS_EXPIRY_S] = connect_late
        host = EntryHost(components=components)
        nursery.start_soon(host.run)
        await trio.sleep(0.1)
        await host.drain()
        nursery.cancel_scope.cancel()
    assert len(callers) == 20
    for caller in callers:
        answer = read_all(caller).lower()
        assert answer.startswith(b"http/1.1 503 ")
        assert b"connection: close" in answer and b"retry-after: " in answer


async def test_callers_at_the_end_of_a_stop_are_refused_when_they_connect(autojump_clock, tmp_path):
    """Guards against connections that are accepted, or queued, once the last ones are closed."""
    async with trio.open_nursery() as nursery:
        components = make_components(nursery, "entry", tmp_path)
        host = EntryHost(components=components)
        nursery.start_soon(host.run)
        await trio.sleep(0.1)
        await host.drain()
        with pytest.raises(ConnectionRefusedError):
            connect(components.cfg.request_address)
        nursery.cancel_scope.cancel()


async def test_signal_that_comes_again_does_not_cut_a_stop(autojump_clock, tmp_path):
    """Guards against a second SIGTERM that ends the process with connections open."""
    cut_by = []
    path = tmp_path / "node.json"
    cfg = make_settings("entry", tmp_path)
    path.write_bytes(msgspec.json.encode(cfg))
    previous = signal.signal(signal.SIGTERM, lambda number, frame: cut_by.append(number))
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_site, cfg, build_adapter(), SettingsFile(path=str(path)))
            await trio.sleep(0.1)
            caller = connect(cfg.request_address, b"")
            for _ in range(3):
                signal.raise_signal(signal.SIGTERM)
                await trio.sleep(0.2)
            caller.sendall(REQUEST)
    finally:
        signal.signal(signal.SIGTERM, previous)
    assert not cut_by
    assert read_all(caller).startswith(b"HTTP/1.1 503 ")


async def test_calls_in_the_queue_of_endpoints_at_a_stop_get_an_answer(autojump_clock, tmp_path):
    """Guards against operators, callers and checks whose connection a stopping host resets."""
    for role, host_type, pause_s in (
        ("control", ControlHost, DRAIN_DELAY_S),
        ("entry", EntryHost, ADDRESS_EXPIRY_S),
    ):
        callers = []
        async with trio.open_nursery() as nursery:
            components = make_components(nursery, role, tmp_path)
            cfg = components.cfg
            calls = {cfg.operator_address: QUERY, cfg.lookup_address: LOOKUP}
            if role == "entry":
                calls = {cfg.ready_address: REQUEST}

            def connect_late(calls=calls, callers=callers):
                callers.extend(connect(*call) for call in calls.items() for _ in range(10))

            components.timers.hooks[pause_s] = connect_late
            more = {"disk": MemoryDisk(rng=random.Random(1))} if role == "control" else {}
            host = host_type(components=components, **more)
            nursery.start_soon(host.run)
            await trio.sleep(1)
            await host.drain()
            for address in calls:
                with pytest.raises(ConnectionRefusedError):
                    connect(address)
            nursery.cancel_scope.cancel()
        assert len(callers) == 10 * len(calls)
        for caller in callers:
            answer = read_all(caller).lower()
            assert answer.startswith(b"http/1.1 ") and b"connection: close" in answer


@pytest.mark.parametrize("took_s", [0.9, 60.0])
async def test_operator_is_answered_at_a_stop(autojump_clock, tmp_path, monkeypatch, took_s):
    """Guards against an order in progress whose connection ends without an answer."""

    async def get_routes(operations):
        await trio.sleep(took_s)
        return Failure(reason=Reason.NOT_FOUND, run_state=RunState.NOT_RUN, step="routes")

    monkeypatch.setattr(Operations, "get_routes", get_routes)
    async with trio.open_nursery() as nursery:
        components = make_components(nursery, "control", tmp_path)
        host = ControlHost(components=components, disk=MemoryDisk(rng=random.Random(1)))
        nursery.start_soon(host.run)
        await trio.sleep(1)
        caller = connect(components.cfg.operator_address, QUERY)
        await trio.sleep(0.1)
        await host.drain()
        nursery.cancel_scope.cancel()
    status = b"404" if took_s < 1 else b"503"
    answer = read_all(caller).lower()
    assert answer.startswith(b"http/1.1 " + status) and b"connection: close" in answer


async def test_incomplete_request_at_the_end_of_a_stop_is_refused(autojump_clock, tmp_path):
    """Guards against the end of a connection without an answer while a body arrives."""
    async with trio.open_nursery() as nursery:
        components = make_components(nursery, "entry", tmp_path)
        host = EntryHost(components=components)
        nursery.start_soon(host.run)
        await trio.sleep(0.1)
        nursery.start_soon(host.drain)
        await trio.sleep(ADDRESS_EXPIRY_S - 0.1)
        caller = connect(components.cfg.request_address, INCOMPLETE_REQUEST)
        await trio.sleep(Bounds().grace_s - ADDRESS_EXPIRY_S)
        nursery.cancel_scope.cancel()
    answer = read_all(caller).lower()
    assert answer.startswith(b"http/1.1 503 ") and b"connection: close" in answer


async def test_what_a_stop_refuses_accepts_and_cuts_is_logged(autojump_clock, tmp_path, caplog):
    """Guards against a stop that cuts connections without a trace."""
    caplog.set_level(logging.INFO)
    path = tmp_path / "node.json"
    cfg = make_settings("entry", tmp_path)
    path.write_bytes(msgspec.json.encode(cfg))
    callers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_site, cfg, build_adapter(), SettingsFile(path=str(path)))
        await trio.sleep(0.1)
        signal.raise_signal(signal.SIGTERM)
        await trio.sleep(1)
        callers.append(connect(cfg.request_address))
        # This request never becomes complete, and its caller does not close the connection.
        await trio.sleep(2)
        callers.append(connect(cfg.request_address, INCOMPLETE_REQUEST))
    lines = {record.message: record for record in caplog.records}
    drained, stopped = lines["drained"], lines["stopped"]
    assert (drained.requests_refused, drained.connections_left) == (2, 1)
    assert (drained.requests_left, drained.connections_reset) == (0, 0)
    assert (stopped.connections_closed, stopped.connections_reset) == (1, 0)
    for caller in callers:
        caller.close()
