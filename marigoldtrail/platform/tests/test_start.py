"""Start of a host's process."""

import contextlib
import gc
import os
import signal
import socket
import subprocess
import sys

import pytest
import trio

from marigoldtrail.platform.adapter import build_adapter
from marigoldtrail.platform.tests.settings_template import (
    fill_template,
    list_placeholders,
    make_fields,
)
from marigoldtrail.schema import parse_site_settings
from marigoldtrail.site import launch
from marigoldtrail.site.launch import EXIT_INVALID
from marigoldtrail.timers import Timers

METRICS_PORT = 9100
START_TIMEOUT_S = 30.0
POLL_S = 0.05
CONTROL_HOST = "marigoldtrail.site.control_host"
# Each of them names this host, another one, or a place for its data.
NEEDED = (
    "data_dir",
    "internal_ports",
    "ip",
    "listen.control",
    "listen.directory",
    "listen.front",
    "listen.ready",
    "node_name",
    "role",
    "seeds",
    "zone",
)


def find_free_ip():
    """Return a loopback address at which the port of the metrics is free."""
    for number in range(1, 255):
        ip = f"127.77.{number}.1"
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((ip, METRICS_PORT))
            return ip
    raise RuntimeError("the port of the metrics is in use at all addresses")


def is_listening(address):
    ip, _, port = address.rpartition(":")
    with socket.socket() as sock:
        return sock.connect_ex((ip, int(port))) == 0


def test_reload_signal_does_not_end_a_starting_process(tmp_path):
    """Guards against a reload signal that ends a process before it can handle the signal."""
    path = tmp_path / "node.json"
    os.mkfifo(path)
    env = {**os.environ, "MARIGOLDTRAIL_CONFIG": str(path)}
    command = [sys.executable, "-m", "marigoldtrail.platform"]
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE) as process:
        # Opening the FIFO blocks until the process reads its settings.
        with path.open("wb") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write(b"{}")
        _, errors = process.communicate()
    assert process.returncode == EXIT_INVALID and str(path).encode() in errors


def test_all_placeholders_but_the_needed_ones_may_be_left_out():
    """Guards against a new placeholder whose missing value stops the start."""
    fields = {
        role: make_fields(role, "10.0.0.1", (1, 2, 3, 4, 5), "/data")
        for role in ("entry", "control")
    }
    for role, values in fields.items():
        assert not isinstance(parse_site_settings(fill_template(values).encode()), list), role
    optional = [name for name in list_placeholders() if name not in NEEDED]
    assert "limits.memory_mb" in optional and "region" in optional and "bootstrap" in optional
    assert set(NEEDED) <= set(list_placeholders())


async def wait_for_start(process, address):
    """Return whether a process listens at an address before it ends, or the time is up."""
    with trio.move_on_after(START_TIMEOUT_S):
        async for _ in Timers().subscribe("test", POLL_S):
            if process.poll() is not None or is_listening(address):
                break
    return process.poll() is None and is_listening(address)


@pytest.mark.parametrize("role", ["entry", "control"])
def test_host_starts_with_every_optional_value_null(tmp_path, role):
    """Guards against a fleet that does not start since its deployment names no limit."""
    ip = find_free_ip()
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(5)]
        for sock in socks:
            sock.bind((ip, 0))
        ports = [sock.getsockname()[1] for sock in socks]
    fields = make_fields(role, ip, ports, tmp_path)
    path = tmp_path / "node.json"
    path.write_text(fill_template(fields))
    assert '"memory_mb": null' in path.read_text()
    env = {**os.environ, "MARIGOLDTRAIL_CONFIG": str(path)}
    command = [sys.executable, "-m", "marigoldtrail.platform"]
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE) as process:
        address = fields["listen"]["front" if role == "entry" else "control"]
        has_started = trio.run(wait_for_start, process, address)
        process.kill()
        _, errors = process.communicate()
    assert has_started, errors.decode()


@pytest.mark.parametrize("role", ["entry", "control"])
def test_host_collects_no_garbage_among_what_it_has_loaded(tmp_path, monkeypatch, role):
    """Guards against collections that go through all modules and types again and again."""
    path = tmp_path / "node.json"
    path.write_text(fill_template(make_fields(role, "127.0.0.1", (1, 2, 3, 4, 5), tmp_path)))
    frozen = []

    def note_frozen(*_):
        frozen.append((gc.get_freeze_count(), CONTROL_HOST in sys.modules))

    monkeypatch.setattr(launch.trio, "run", note_frozen)
    monkeypatch.setattr(launch, "configure_nonblocking_logging", lambda **_: None)
    monkeypatch.delitem(sys.modules, CONTROL_HOST, raising=False)
    thresholds = gc.get_threshold()
    try:
        assert launch.run_site(str(path), build_adapter()) == 0
        ((count, has_control_host),) = frozen
        assert count > 0 and gc.get_threshold() > thresholds
        assert has_control_host == (role == "control")
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)


def test_start_loads_no_command_line_of_a_library():
    """Guards against libraries whose unused parts cost each entry time at its start and memory."""
    code = "import sys, marigoldtrail.platform.adapter, marigoldtrail.site; print(*sys.modules)"
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = run.stdout.split()
    assert "marigoldtrail.site.entry_host" in loaded
    assert not {"argparse", "crc32c", "importlib.metadata"} & set(loaded)
