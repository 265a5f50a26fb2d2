"""A randomised soak of gateway processes under injected faults."""
