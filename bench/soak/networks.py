"""Loopback networks for runs of the soak, so that runs at the same time do not share addresses."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

FIRST_NETWORK = 90
NETWORKS = 32
# No host of a site has this address; whoever listens on it has the network.
CLAIM_ADDRESS = "255.254"
CLAIM_PORT = 7999


@contextmanager
def claim_network() -> Iterator[str]:
    """
    Claim a network that no other run on this machine uses, the first one if it is free.

    Yields
    ------
    str
        First two octets of its addresses, such as ``"127.90"``.

    Raises
    ------
    OSError
        If all networks are in use.
    """
    for number in range(FIRST_NETWORK, FIRST_NETWORK + NETWORKS):
        network = f"127.{number}"
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as claim:
            try:
                claim.bind((f"{network}.{CLAIM_ADDRESS}", CLAIM_PORT))
                claim.listen(1)
            except OSError:
                continue
            yield network
            return
    raise OSError(f"all {NETWORKS} networks of the soak are in use")
