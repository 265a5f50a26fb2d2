"""The subcommands of gypsumctl."""
