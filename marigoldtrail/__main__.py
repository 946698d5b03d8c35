"""Runs the command line with ``python -m marigoldtrail``."""

from marigoldtrail.cli import main

if __name__ == "__main__":
    main()
