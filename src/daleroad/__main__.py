"""Runs the command line as ``python -m daleroad``."""

from daleroad.cli import main

main()
