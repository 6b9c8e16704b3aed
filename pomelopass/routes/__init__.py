"""Hold one group of HTTP routes per file."""
