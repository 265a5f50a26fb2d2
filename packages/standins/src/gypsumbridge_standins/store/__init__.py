"""Stand-in for the platform's configuration store, served over HTTP."""
