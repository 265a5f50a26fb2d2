"""Runs the program's own decisions in memory on a clock set by hand."""
