"""Declarations and searchers of a deployment."""
