"""Checked settings of a node."""
