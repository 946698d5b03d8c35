"""Allocates loopback networks, so that concurrent soak tests do not share addresses."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

FIRST_NETWORK = 90
NETWORK_COUNT = 32
# Reserved address that no host of a site uses; a run claims a network by listening on it.
CLAIM_ADDRESS = "255.254"
CLAIM_PORT = 7999


@contextmanager
def claim_network() -> Iterator[str]:
    """
    Claim the first network that no other run on this machine uses.

    Yields
    ------
    str
        First two octets of its addresses, such as ``"127.90"``.

    Raises
    ------
    OSError
        If all networks are in use.
    """
    for number in range(FIRST_NETWORK, FIRST_NETWORK + NETWORK_COUNT):
        network = f"127.{number}"
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as claim:
            try:
                claim.bind((f"{network}.{CLAIM_ADDRESS}", CLAIM_PORT))
                claim.listen(1)
            except OSError:
                continue
            yield network
            return
    raise OSError(f"all {NETWORK_COUNT} loopback networks for soak tests are in use")
