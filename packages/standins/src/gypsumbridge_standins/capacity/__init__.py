"""Measures how costs grow with size, for docs/CAPACITY.md."""
