"""Reads CPU time, resident memory and TCP traffic of running processes from the kernel."""

from __future__ import annotations

import os
import socket
import struct
from pathlib import Path

import msgspec

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
REQUEST_DUMP = 0x301
DONE, ERROR = 3, 2
INFO_EXTENSION = 2
ALL_STATES = 0xFFFFFFFF
RECEIVE_BYTES = 1 << 16
HEADER = struct.Struct("=IHHII")
# Offsets within inet_diag_msg and tcp_info.
INODE_OFFSET, ATTRIBUTES_OFFSET = 68, 72
BYTES_OFFSET, SEGMENTS_OFFSET = 120, 152
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
KIB = 1024


class Traffic(msgspec.Struct, frozen=True):
    """
    Traffic of one connection.

    Parameters
    ----------
    sent_bytes, received_bytes : int
        Payload bytes acknowledged by the peer, and received.
    sent_segments, received_segments : int
        Segments with payload; a frame that fits into one segment counts once.
    """

    sent_bytes: int
    received_bytes: int
    sent_segments: int
    received_segments: int


def read_connections() -> dict[int, Traffic]:
    """
    Read the traffic of every IPv4 TCP connection in this network namespace.

    Returns
    -------
    dict of int to Traffic
        Traffic by inode of the socket.
    """
    found: dict[int, Traffic] = {}
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        body = struct.pack(
            "=BBBBI48x", socket.AF_INET, socket.IPPROTO_TCP, INFO_EXTENSION, 0, ALL_STATES
        )
        size = HEADER.size + len(body)
        netlink.send(HEADER.pack(size, SOCK_DIAG_BY_FAMILY, REQUEST_DUMP, 1, 0) + body)
        while True:
            data = netlink.recv(RECEIVE_BYTES)
            while data:
                length, kind, *_ = HEADER.unpack_from(data)
                if kind == ERROR:
                    raise OSError("the kernel refused to list TCP connections")
                if kind == DONE:
                    return found
                add_connection(found, data[HEADER.size : length])
                data = data[length:]


def add_connection(found: dict[int, Traffic], message: bytes) -> None:
    """Add the connection of one inet_diag_msg that carries a tcp_info."""
    (inode,) = struct.unpack_from("=I", message, INODE_OFFSET)
    offset = ATTRIBUTES_OFFSET
    while offset + 4 <= len(message):
        length, kind = struct.unpack_from("=HH", message, offset)
        if kind == INFO_EXTENSION and inode:
            info = offset + 4
            sent, received = struct.unpack_from("=QQ", message, info + BYTES_OFFSET)
            segments_in, segments_out = struct.unpack_from("=II", message, info + SEGMENTS_OFFSET)
            found[inode] = Traffic(sent, received, segments_out, segments_in)
        offset += (max(length, 4) + 3) & ~3


def socket_inodes(pid: int) -> set[int]:
    """Return the inodes of the sockets that a process holds."""
    inodes = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(entry)
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.add(int(target[8:-1]))
    return inodes


class Sample(msgspec.Struct, frozen=True):
    """
    Resource usage of a process at one time.

    Parameters
    ----------
    cpu_s : float
        CPU time in seconds.
    resident_bytes : int
        Resident memory in bytes.
    connections : dict of int to Traffic
        Its TCP connections by inode of the socket.
    """

    cpu_s: float
    resident_bytes: int
    connections: dict[int, Traffic]


def sample_process(pid: int, connections: dict[int, Traffic]) -> Sample:
    """
    Read the resource usage of a process.

    Parameters
    ----------
    pid : int
        Id of the process.
    connections : dict of int to Traffic
        Connections returned by `read_connections`.

    Returns
    -------
    Sample
        Usage at the time of the call.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return Sample(
        cpu_s=(int(fields[11]) + int(fields[12])) / CLOCK_TICKS,
        resident_bytes=int(resident.split()[1]) * KIB,
        connections={
            inode: connections[inode] for inode in socket_inodes(pid) if inode in connections
        },
    )


def rates_between(first: Sample, last: Sample, elapsed_s: float) -> dict[str, float]:
    """
    Return the rates between two samples.

    Connections that were closed between them are not counted.

    Parameters
    ----------
    first, last : Sample
        The samples.
    elapsed_s : float
        Seconds between them.

    Returns
    -------
    dict of str to float
        Share of a core in percent, resident MB, bytes and segments a second.
    """
    no_traffic = Traffic(0, 0, 0, 0)
    rates = {
        "core_percent": 100 * (last.cpu_s - first.cpu_s) / elapsed_s,
        "resident_mb": last.resident_bytes / 1e6,
    }
    for name in Traffic.__struct_fields__:
        total = sum(
            getattr(traffic, name) - getattr(first.connections.get(inode, no_traffic), name)
            for inode, traffic in last.connections.items()
        )
        rates[f"{name}_per_s"] = total / elapsed_s
    return rates
