"""Tests that run nodes, gateways and their platform as processes."""
