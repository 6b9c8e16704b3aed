"""Hold one command of the command-line tool per file."""
