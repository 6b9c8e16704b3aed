"""Hold one duty per file."""
