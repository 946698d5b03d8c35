"""Software versions of the services, and the versions that began streams which may be resumed."""

from __future__ import annotations

import sys

import msgspec


class StreamRecord(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """
    Version that began one stream.

    Parameters
    ----------
    version : str
        The software version.
    index : int
        Log index of the command that recorded it.
    """

    version: str
    index: int


class VersionLedger(msgspec.Struct, kw_only=True):
    """
    Durable history of versions; part of the state of group config.

    Most of the time a service has one version, which then has begun every stream. Beside others,
    the oldest version stays the default: only streams of other versions are recorded.

    Parameters
    ----------
    services : dict
        By service, the versions that streams in progress may hold, oldest first.
    services_index : int
        Log index of the last change of `services`.
    streams : dict
        Recorded streams by key, in the order of their log indexes.

    Examples
    --------
    >>> ledger = VersionLedger()
    >>> ledger.add_versions(1, {"chat": ["v1"]})
    >>> ledger.add_versions(2, {"chat": ["v2"]})
    >>> ledger.put_streams(3, {b"a": "v2"}, drop_through=0)
    >>> ledger.find_version("chat", b"a"), ledger.find_version("chat", b"b")
    ('v2', 'v1')
    """

    services: dict[str, list[str]] = {}
    services_index: int = 0
    streams: dict[bytes, StreamRecord] = {}

    def add_versions(self, index: int, versions: dict[str, list[str]]) -> None:
        """Add versions to services, as the newest; known ones keep their place."""
        for service, added in versions.items():
            known = self.services.setdefault(service, [])
            known += [version for version in added if version not in known]
        self.services_index = index

    def remove_version(self, index: int, service: str, version: str) -> None:
        """Remove a version that no stream in progress can hold any more."""
        known = self.services.get(service, [])
        if version in known:
            known.remove(version)
            self.services_index = index

    def put_streams(self, index: int, streams: dict[bytes, str], *, drop_through: int) -> None:
        """
        Record the versions of streams.

        Parameters
        ----------
        index : int
            Log index of the command.
        streams : dict
            Versions by stream key; the latest record of a stream wins.
        drop_through : int
            Records up to this log index are dropped.
        """
        for key, version in streams.items():
            self.streams.pop(key, None)
            self.streams[key] = StreamRecord(sys.intern(version), index)
        while self.streams and self.oldest_index() <= drop_through:
            del self.streams[next(iter(self.streams))]

    def oldest_index(self) -> int:
        """Return the log index of the oldest record; 0 if there is none."""
        oldest = next(iter(self.streams.values()), None)
        return oldest.index if oldest is not None else 0

    def find_version(self, service: str, key: bytes) -> str | None:
        """
        Return the version that began a stream.

        Parameters
        ----------
        service : str
            Service of the stream.
        key : bytes
            Key of the stream; empty if it is not named or was never to be recorded.

        Returns
        -------
        str or None
            None if it is not known.
        """
        record = self.streams.get(key)
        if record is not None:
            return record.version
        versions = self.services.get(service, [])
        if not versions or (not key and len(versions) > 1):
            return None
        return versions[0]
