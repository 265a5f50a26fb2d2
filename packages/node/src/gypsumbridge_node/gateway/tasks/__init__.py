"""The gateway's tasks, each with its own state and sockets."""
