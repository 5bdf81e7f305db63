"""Runs the command line: `python -m linedeal`."""

from linedeal.cli import main

main()
