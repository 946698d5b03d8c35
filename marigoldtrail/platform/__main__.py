"""Runs a host on the platform: ``python3 -m marigoldtrail.platform``."""

import os
import sys

from marigoldtrail.platform.adapter import build_adapter
from marigoldtrail.site import run_site

# Set by the platform for every process.
SETTINGS_VARIABLE = "MARIGOLDTRAIL_CONFIG"

if __name__ == "__main__":
    sys.exit(run_site(os.environ.get(SETTINGS_VARIABLE, ""), build_adapter()))
