"""Request handlers of the operators' resource API."""
