"""Codecs between data classes and bytes; they open no socket."""
