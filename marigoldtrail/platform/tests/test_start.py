"""The process of a host while it starts."""

import os
import signal
import subprocess
import sys

from marigoldtrail.site.launch import EXIT_INVALID


def test_change_of_settings_does_not_end_a_process_that_starts(tmp_path):
    """Guards against a host that is lost since a reload reaches it before it can handle one."""
    path = tmp_path / "node.json"
    os.mkfifo(path)
    env = {**os.environ, "MARIGOLDTRAIL_CONFIG": str(path)}
    command = [sys.executable, "-m", "marigoldtrail.platform"]
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE) as process:
        # This waits until the process reads its settings.
        with path.open("wb") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write(b"{}")
        _, errors = process.communicate()
    assert process.returncode == EXIT_INVALID and str(path).encode() in errors
