"""Settings file of a host, which may change while the host runs."""

from __future__ import annotations

from pathlib import Path

from marigoldtrail.schema import parse_site_settings
from marigoldtrail.schema.generated.site import SiteSettings


class SettingsFile:
    """
    Settings file that is reloaded when it changes.

    Parameters
    ----------
    path : str
        Path of the file; empty if none is given.
    """

    __slots__ = ("path", "_stamp")

    def __init__(self, *, path: str) -> None:
        self.path = path
        self._stamp: tuple[int, int] | None = None

    def read(self) -> SiteSettings | str:
        """
        Read the settings.

        Returns
        -------
        SiteSettings or str
            The settings, or the faults of the file.
        """
        if not self.path:
            return "no settings file is named"
        try:
            # Read before the content, so that `has_changed` detects any later change.
            self._stamp = self._read_stamp()
            data = Path(self.path).read_bytes()
        except OSError as exc:
            # The change is still to be read.
            self._stamp = None
            return f"{self.path}: {exc.strerror}"
        settings = parse_site_settings(data, self.path)
        if isinstance(settings, list):
            return "\n".join(str(fault) for fault in settings)
        return settings

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was last read."""
        try:
            return self._read_stamp() != self._stamp
        except OSError:
            # The file is being replaced; the current settings stay in force.
            return False

    def _read_stamp(self) -> tuple[int, int]:
        status = Path(self.path).stat()
        return status.st_mtime_ns, status.st_size
