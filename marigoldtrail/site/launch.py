"""Start a host from its settings and stop it on signals."""

from __future__ import annotations

import importlib
import logging
import random
import signal
import sys
from typing import TYPE_CHECKING

import trio

from marigoldtrail.errors import Failure
from marigoldtrail.net import TcpNetwork
from marigoldtrail.schema.generated.site import SiteSettings
from marigoldtrail.site.adapter import Adapter
from marigoldtrail.site.components import HostComponents
from marigoldtrail.site.entry_host import EntryHost
from marigoldtrail.site.garbage import tune_garbage_collection
from marigoldtrail.site.settings_file import SettingsFile
from marigoldtrail.telemetry.nonblocking_logs import configure_nonblocking_logging
from marigoldtrail.timers import Timers

if TYPE_CHECKING:
    from marigoldtrail.site.control_host import ControlHost
    from marigoldtrail.storage import FolderDisk

EXIT_FAILED = 1
EXIT_INVALID = 2
SETTINGS_CHECK_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


def run_site(path: str, adapter: Adapter) -> int:
    """
    Run a host until it is stopped by a signal.

    Parameters
    ----------
    path : str
        Path of the settings file.
    adapter : Adapter
        Adapter of the platform.

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
    configure_nonblocking_logging(host=cfg.host)
    if cfg.role != "entry":
        # Loaded before the collector is tuned, so that collections leave it out too.
        importlib.import_module("marigoldtrail.site.control_host")
    tune_garbage_collection()
    failure = trio.run(serve_site, cfg, adapter, file)
    if failure is not None:
        _log.error("the host could not start: %s", failure)
        return EXIT_FAILED
    return 0


async def serve_site(cfg: SiteSettings, adapter: Adapter, file: SettingsFile) -> Failure | None:
    """
    Run a host with the given settings until a signal stops it.

    Parameters
    ----------
    cfg : SiteSettings
        The settings.
    adapter : Adapter
        Adapter of the platform.
    file : SettingsFile
        File from which the settings are reloaded.

    Returns
    -------
    Failure or None
        None after a normal stop; otherwise why the host could not start.
    """
    timers = Timers()
    disk: FolderDisk | None = None
    if cfg.role != "entry":
        # Entries have no disk.
        from marigoldtrail.storage import wait_for_folder

        # A signal ends the process during this wait.
        opened = await wait_for_folder(cfg.data_folder, timers=timers)
        if isinstance(opened, Failure):
            return opened
        disk = opened
    # The handlers stay until the last task has ended: a signal that comes again during a stop would
    # otherwise end the process with connections open.
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            components = HostComponents(
                cfg=cfg,
                adapter=adapter,
                network=TcpNetwork(bind_ip=cfg.bind_ip),
                timers=timers,
                rng=random.Random(),
                nursery=nursery,
            )
            host: EntryHost | ControlHost
            if disk is None:
                host = EntryHost(components=components)
            else:
                # Entries run no log groups and no schedulers.
                from marigoldtrail.site.control_host import ControlHost

                host = ControlHost(components=components, disk=disk)
            _log.info("start", extra={"role": cfg.role, "first_start": cfg.first_start})
            nursery.start_soon(host.run)
            nursery.start_soon(watch_settings, components, file, timers)
            is_stopping = False
            async for number in signals:
                if number == signal.SIGHUP:
                    reload_settings(components, file)
                    continue
                _log.info("stop", extra={"signal": signal.Signals(number).name})
                if not is_stopping:
                    is_stopping = True
                    nursery.start_soon(stop_host, host, nursery.cancel_scope)
        if isinstance(host, EntryHost):
            host.log_stopped()
    return None


async def stop_host(host: EntryHost | ControlHost, scope: trio.CancelScope) -> None:
    """
    Drain a host, then cancel its tasks.

    Parameters
    ----------
    host : EntryHost or ControlHost
        The host.
    scope : trio.CancelScope
        Scope of its tasks.
    """
    await host.drain()
    scope.cancel()


async def watch_settings(components: HostComponents, file: SettingsFile, timers: Timers) -> None:
    """
    Reload the settings whenever their file changes, even without a signal, until cancelled.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    file : SettingsFile
        The settings file.
    timers : Timers
        Clock.
    """
    async for _ in timers.subscribe("settings", SETTINGS_CHECK_INTERVAL_S):
        if file.has_changed():
            reload_settings(components, file)


def reload_settings(components: HostComponents, file: SettingsFile) -> None:
    """
    Apply the settings that may change while a host runs: seeds and bounds.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    file : SettingsFile
        The settings file.
    """
    cfg = file.read()
    if isinstance(cfg, str):
        _log.error("the settings could not be reloaded: %s", cfg)
        return
    components.cfg.seeds = cfg.seeds
    components.cfg.bounds = cfg.bounds
    components.reporter.add_seeds(components.seed_names())
    _log.info("reload", extra={"seeds": cfg.seeds})
