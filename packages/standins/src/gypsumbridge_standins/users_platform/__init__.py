"""Stand-in for the users' platform: store and searchers on loopback."""
