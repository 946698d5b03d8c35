"""Entry point of ``python -m marigoldtrail``."""

from marigoldtrail.cli import main

if __name__ == "__main__":
    main()
