"""The tasks of a node; each owns its sockets or its state."""
