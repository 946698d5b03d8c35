"""Checksums of what is stored."""

from __future__ import annotations


def crc32c(data: bytes | memoryview, value: int = 0) -> int:
    """
    Return the CRC-32C of some data.

    Parameters
    ----------
    data : bytes or memoryview
        The data.
    value : int
        Checksum of what precedes the data.

    Returns
    -------
    int
        The checksum.

    Examples
    --------
    >>> hex(crc32c(b"123456789"))
    '0xe3069283'
    """
    # With its package come a command line and readers of e-mail, a megabyte of memory that hosts
    # without a disk do not need.
    from crc32c import crc32c as compute

    return compute(data, value)
