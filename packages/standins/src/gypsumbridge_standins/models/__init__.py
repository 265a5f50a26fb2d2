"""Models of the core protocols that run the nodes' own step functions."""
