"""Randomised soaks of the nodes' decisions under faults, from a seed."""
