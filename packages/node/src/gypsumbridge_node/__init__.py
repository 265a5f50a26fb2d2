"""The node daemon: tasks, sockets, settings, logs and metrics."""
