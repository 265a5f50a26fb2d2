"""Runs the nodes' decisions in memory, on simulated time."""
