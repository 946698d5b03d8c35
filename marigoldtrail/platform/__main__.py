"""Runs a host on the platform: ``python3 -m marigoldtrail.platform``."""

import os
import signal
import sys

# Set by the platform for every process.
SETTINGS_VARIABLE = "MARIGOLDTRAIL_CONFIG"


def main() -> int:
    """Run the host; return the exit status of the process."""
    # Without a handler a change of the settings during the start would end the process. It loses
    # nothing: the settings are read after this, and their file is watched from then on.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from marigoldtrail.platform.adapter import build_adapter
    from marigoldtrail.site import run_site

    return run_site(os.environ.get(SETTINGS_VARIABLE, ""), build_adapter())


if __name__ == "__main__":
    sys.exit(main())
