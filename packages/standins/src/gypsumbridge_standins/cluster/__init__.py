"""Starts and stops a deployment's processes on loopback."""
