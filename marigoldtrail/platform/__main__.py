"""Run a host on the platform: ``python3 -m marigoldtrail.platform``."""

import os
import signal
import sys

# Set by the platform for every process.
SETTINGS_ENV_VARIABLE = "MARIGOLDTRAIL_CONFIG"


def main() -> int:
    """Run the host; return the exit status of the process."""
    # Without a handler, the signal for changed settings would end the process while it starts.
    # Ignoring it loses no change: the settings are read later, and then their file is watched.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from marigoldtrail.platform.adapter import build_adapter
    from marigoldtrail.site import run_site

    return run_site(os.environ.get(SETTINGS_ENV_VARIABLE, ""), build_adapter())


if __name__ == "__main__":
    sys.exit(main())
