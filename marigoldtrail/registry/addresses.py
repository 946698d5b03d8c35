"""Names and addresses of control hosts."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from marigoldtrail.net import Address


class PeerAddresses(Mapping[str, Address]):
    """
    Addresses of control hosts by name; the name of a control host is its address.

    A host that knows the voters from its log can therefore call them without looking up their
    addresses, even when all hosts restart at the same time after a power failure.

    Examples
    --------
    >>> PeerAddresses()["10.0.0.1:7740"]
    Address(ip='10.0.0.1', port=7740)
    >>> "control-1" in PeerAddresses()
    False
    """

    __slots__ = ()

    def __getitem__(self, name: str) -> Address:
        try:
            return Address.parse(name)
        except ValueError as exc:
            raise KeyError(name) from exc

    def __iter__(self) -> Iterator[str]:
        return iter(())

    def __len__(self) -> int:
        return 0

    def address_of(self, name: str) -> Address | None:
        """Return the address of a host; None if the name is not an address."""
        return self.get(name)


def peer_name(address: str, port: int) -> str:
    """
    Return the name of a control host within the log group.

    Parameters
    ----------
    address : str
        Any address of the host.
    port : int
        Port for traffic between hosts, the same on all hosts.

    Returns
    -------
    str
        Its IP address with that port.

    Examples
    --------
    >>> peer_name("10.0.0.1:8628", 7740)
    '10.0.0.1:7740'
    """
    return str(Address(Address.parse(address).ip, port))
