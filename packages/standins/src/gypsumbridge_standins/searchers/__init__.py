"""Stand-ins for searchers; one process serves many of them."""
