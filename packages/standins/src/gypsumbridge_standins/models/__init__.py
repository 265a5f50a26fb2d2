"""Models of the core protocols, stepped by the program's own functions."""
