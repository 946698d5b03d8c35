"""Start of a host's process."""

import os
import signal
import subprocess
import sys

from marigoldtrail.site.launch import EXIT_INVALID


def test_reload_signal_does_not_end_a_starting_process(tmp_path):
    """Guards against a reload signal that ends a process before it can handle the signal."""
    path = tmp_path / "node.json"
    os.mkfifo(path)
    env = {**os.environ, "MARIGOLDTRAIL_CONFIG": str(path)}
    command = [sys.executable, "-m", "marigoldtrail.platform"]
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE) as process:
        # Opening the FIFO blocks until the process reads its settings.
        with path.open("wb") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write(b"{}")
        _, errors = process.communicate()
    assert process.returncode == EXIT_INVALID and str(path).encode() in errors
