"""Runs the command line with `python -m gypsumbridge_ctl`."""

from gypsumbridge_ctl import main

main.run()
