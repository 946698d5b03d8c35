"""Parse and format addresses that consist of an IP address and a port."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """
    IP address and port of a process.

    Parameters
    ----------
    ip : str
        IPv4 or IPv6 address.
    port : int
        TCP port, from 0 to 65535.
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """
        Parse ``"ip:port"``.

        Parameters
        ----------
        text : str
            For example ``"127.0.0.1:7000"`` or ``"[::1]:7000"``.

        Returns
        -------
        Address
            The parsed address.

        Raises
        ------
        ValueError
            If the text is not an IP address and a port.

        Examples
        --------
        >>> Address.parse("127.0.0.1:7000")
        Address(ip='127.0.0.1', port=7000)
        >>> str(Address.parse("[::1]:7000"))
        '[::1]:7000'
        """
        ip, separator, port = text.rpartition(":")
        is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
        if not separator or not text.isprintable() or not is_number or int(port) > MAX_PORT:
            raise ValueError(f"{text!r} is not an address of the form ip:port")
        number = ipaddress.ip_address(ip.strip("[]"))
        return cls(str(number), int(port))

    def __str__(self) -> str:
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


def is_address(text: str) -> bool:
    """
    Tell whether a text is a valid address to connect to.

    Parameters
    ----------
    text : str
        For example ``"127.0.0.1:7000"``.

    Returns
    -------
    bool
        True for an IP address and a port other than 0.

    Examples
    --------
    >>> is_address("127.0.0.1:7000"), is_address("127.0.0.1:0"), is_address("localhost:80")
    (True, False, False)
    """
    try:
        return Address.parse(text).port > 0
    except ValueError:
        return False
