"""Benchmarks of nodes and gateways as processes."""
