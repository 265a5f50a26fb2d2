"""A stand-in of the users' platform: store and searchers on loopback."""
