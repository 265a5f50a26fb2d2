"""Measures the decisions under load and faults on the in-memory replay."""
