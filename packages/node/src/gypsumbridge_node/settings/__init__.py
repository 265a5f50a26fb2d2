"""Settings of a node and their validation."""
