"""Default values shared by the subcommands."""

SERVERS = ['127.0.0.1:8080']
WAIT_S = 30.0
