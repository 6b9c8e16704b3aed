"""Define the commands of the command-line tool, one per module."""
