"""Codecs between data classes and bytes."""
