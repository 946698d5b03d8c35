"""Starts a host from its settings and stops it on signals."""

from __future__ import annotations

import logging
import random
import signal
import sys
from pathlib import Path

import trio

from marigoldtrail.errors import Failure
from marigoldtrail.net import TcpNetwork
from marigoldtrail.schema import parse_site_settings
from marigoldtrail.schema.generated.site import SiteSettings
from marigoldtrail.site.adapter import Adapter
from marigoldtrail.site.control_host import ControlHost
from marigoldtrail.site.entry_host import EntryHost
from marigoldtrail.site.parts import SiteParts
from marigoldtrail.storage import open_folder
from marigoldtrail.telemetry.lines import configure_lines
from marigoldtrail.timers import Timers

EXIT_FAILED = 1
EXIT_INVALID = 2

_log = logging.getLogger(__name__)


def read_settings(path: str) -> SiteSettings | str:
    """
    Read the settings of a host.

    Parameters
    ----------
    path : str
        Path of the file.

    Returns
    -------
    SiteSettings or str
        The settings, or what is wrong with the file.
    """
    if not path:
        return "no settings file is named"
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        return f"{path}: {exc.strerror}"
    settings = parse_site_settings(data, path)
    if isinstance(settings, list):
        return "\n".join(str(fault) for fault in settings)
    return settings


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
    cfg = read_settings(path)
    if isinstance(cfg, str):
        sys.stderr.write(f"error: {cfg}\n")
        return EXIT_INVALID
    configure_lines(host=cfg.host)
    failure = trio.run(serve_site, cfg, adapter, path)
    if failure is not None:
        _log.error("stopped: %s", failure)
        return EXIT_FAILED
    return 0


async def serve_site(cfg: SiteSettings, adapter: Adapter, path: str) -> Failure | None:
    """
    Serve with some settings until a signal stops the host.

    Parameters
    ----------
    cfg : SiteSettings
        The settings.
    adapter : Adapter
        The platform.
    path : str
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
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    reload_settings(parts, path)
                    continue
                _log.info("stop", extra={"signal": signal.Signals(number).name})
                await host.drain()
                nursery.cancel_scope.cancel()
                break
    return None


def reload_settings(parts: SiteParts, path: str) -> None:
    """
    Take over what may change while a host runs: seeds and bounds.

    Parameters
    ----------
    parts : SiteParts
        Parts of the host.
    path : str
        Path of the settings.
    """
    cfg = read_settings(path)
    if isinstance(cfg, str):
        _log.error("settings were not reloaded: %s", cfg)
        return
    parts.cfg.seeds = cfg.seeds
    parts.cfg.bounds = cfg.bounds
    parts.agent.add_seeds(parts.seed_names())
    _log.info("reload", extra={"seeds": cfg.seeds})
