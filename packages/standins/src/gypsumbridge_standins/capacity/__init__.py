"""Measures how costs grow, for docs/CAPACITY.md."""
