"""The command line interface: commands, output and exit codes."""
