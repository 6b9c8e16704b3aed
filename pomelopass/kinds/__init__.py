"""Hold one kind of configuration object per file."""
