"""The tasks of a node; each owns its sockets and its state."""
