"""Measures the decisions under load and faults in the in-memory replay."""
