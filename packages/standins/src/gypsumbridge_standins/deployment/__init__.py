"""Builds deployments: resource declarations and searchers."""
