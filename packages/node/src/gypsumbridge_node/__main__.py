"""Runs the node daemon with `python -m gypsumbridge_node`."""

from gypsumbridge_node import main

main.run()
