"""The gateway, which forwards and gathers plain HTTP requests."""
