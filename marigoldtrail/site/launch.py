"""Starts a host from its settings and stops it on signals."""

from __future__ import annotations

import logging
import random
import signal
import sys

import trio

from marigoldtrail.errors import Failure
from marigoldtrail.net import TcpNetwork
from marigoldtrail.schema.generated.site import SiteSettings
from marigoldtrail.site.adapter import Adapter
from marigoldtrail.site.control_host import ControlHost
from marigoldtrail.site.entry_host import EntryHost
from marigoldtrail.site.parts import SiteParts
from marigoldtrail.site.settings_file import SettingsFile
from marigoldtrail.storage import open_folder
from marigoldtrail.telemetry.lines import configure_lines
from marigoldtrail.timers import Timers

EXIT_FAILED = 1
EXIT_INVALID = 2
WATCH_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


def run_site(path: str, adapter: Adapter) -> int:
    """
    Run a host until it is stopped by a signal.

    Parameters
    ----------
    path : str
        Path of its settings.
    adapter : Adapter
        The platform.

    Returns
    -------
    int
        Exit status of the process.
    """
    file = SettingsFile(path=path)
    cfg = file.read()
    if isinstance(cfg, str):
        sys.stderr.write(f"error: {cfg}\n")
        return EXIT_INVALID
    configure_lines(host=cfg.host)
    failure = trio.run(serve_site, cfg, adapter, file)
    if failure is not None:
        _log.error("stopped: %s", failure)
        return EXIT_FAILED
    return 0


async def serve_site(cfg: SiteSettings, adapter: Adapter, file: SettingsFile) -> Failure | None:
    """
    Serve with some settings until a signal stops the host.

    Parameters
    ----------
    cfg : SiteSettings
        The settings.
    adapter : Adapter
        The platform.
    file : SettingsFile
        Where the settings are read again.

    Returns
    -------
    Failure or None
        Why the host could not start.
    """
    timers = Timers()
    async with trio.open_nursery() as nursery:
        parts = SiteParts(
            cfg=cfg,
            adapter=adapter,
            network=TcpNetwork(bind_ip=cfg.bind_ip),
            timers=timers,
            rng=random.Random(),
            nursery=nursery,
        )
        host: EntryHost | ControlHost
        if cfg.role == "entry":
            host = EntryHost(parts=parts)
        else:
            disk = open_folder(cfg.data_folder, timers=timers)
            if isinstance(disk, Failure):
                return disk
            host = ControlHost(parts=parts, disk=disk)
        _log.info("start", extra={"role": cfg.role, "first_start": cfg.first_start})
        nursery.start_soon(host.run)
        nursery.start_soon(watch_settings, parts, file, timers)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    reload_settings(parts, file)
                    continue
                _log.info("stop", extra={"signal": signal.Signals(number).name})
                await host.drain()
                nursery.cancel_scope.cancel()
                break
    return None


async def watch_settings(parts: SiteParts, file: SettingsFile, timers: Timers) -> None:
    """
    Reload the settings when their file changes without a signal, until cancelled.

    Parameters
    ----------
    parts : SiteParts
        Parts of the host.
    file : SettingsFile
        The file.
    timers : Timers
        Clock.
    """
    async for _ in timers.subscribe("settings", WATCH_INTERVAL_S):
        if file.has_changed():
            reload_settings(parts, file)


def reload_settings(parts: SiteParts, file: SettingsFile) -> None:
    """
    Take over what may change while a host runs: seeds and bounds.

    Parameters
    ----------
    parts : SiteParts
        Parts of the host.
    file : SettingsFile
        The file.
    """
    cfg = file.read()
    if isinstance(cfg, str):
        _log.error("settings were not reloaded: %s", cfg)
        return
    parts.cfg.seeds = cfg.seeds
    parts.cfg.bounds = cfg.bounds
    parts.reporter.add_seeds(parts.seed_names())
    _log.info("reload", extra={"seeds": cfg.seeds})
