"""Command-line interface: one program with a subcommand for each role and tool."""

from marigoldtrail.cli.app import app, main

__all__ = ["app", "main"]
