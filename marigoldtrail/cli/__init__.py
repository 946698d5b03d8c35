"""Command line: every role and tool is a subcommand of one program."""

from marigoldtrail.cli.app import app, main

__all__ = ["app", "main"]
