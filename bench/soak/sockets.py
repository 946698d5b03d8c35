"""Bytes that the kernel holds for a process that has not read them."""

from __future__ import annotations

import socket
from pathlib import Path

from marigoldtrail.net import Address

TABLE = Path("/proc/net/tcp")
# Columns of the table: addresses of both ends, and the queues for sending and receiving.
LOCAL, REMOTE, QUEUES = 1, 2, 4


def read_unread_bytes(local: Address, remote: Address) -> int | None:
    """
    Return the number of bytes that wait at one end of a connection on this machine.

    Parameters
    ----------
    local : Address
        End whose process may have bytes to read; its connection need not be accepted yet.
    remote : Address
        The other end.

    Returns
    -------
    int or None
        None if there is no such connection.
    """
    ends = [format_end(local), format_end(remote)]
    for line in TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if [fields[LOCAL], fields[REMOTE]] == ends:
            return int(fields[QUEUES].partition(":")[2], 16)
    return None


def format_end(address: Address) -> str:
    """
    Format an address as the kernel's table does.

    Examples
    --------
    >>> format_end(Address("127.0.0.1", 8080))
    '0100007F:1F90'
    """
    number = int.from_bytes(socket.inet_aton(address.ip), "little")
    return f"{number:08X}:{address.port:04X}"
