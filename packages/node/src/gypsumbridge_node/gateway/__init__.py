"""The ingress that forwards and gathers plain HTTP requests."""
