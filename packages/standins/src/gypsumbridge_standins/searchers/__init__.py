"""Stand-ins for endpoints; one process serves many searchers."""
