"""Settings of the gateway, one class for each section."""
