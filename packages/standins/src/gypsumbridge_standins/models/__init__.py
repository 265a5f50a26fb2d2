"""Models of the core protocols, built on the program's own steps."""
