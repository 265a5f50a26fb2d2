"""A randomised run of gateways as processes, with faults from outside."""
