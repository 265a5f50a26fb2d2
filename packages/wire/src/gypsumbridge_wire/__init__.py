"""Codecs between data classes and bytes, without any I/O."""
