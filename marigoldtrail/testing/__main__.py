"""Runs the fuzzer or the fault matrix with ``python -m marigoldtrail.testing``."""

import importlib
import sys

COMMANDS = ("fuzz", "faults")


def main(argv: list[str]) -> int:
    """Run the subcommand named by the first argument."""
    if not argv or argv[0] not in COMMANDS:
        print(f"usage: python -m marigoldtrail.testing {{{','.join(COMMANDS)}}} ...")
        return 2
    module = importlib.import_module(f"marigoldtrail.testing.{argv[0]}")
    return int(module.main(argv[1:]) or 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
