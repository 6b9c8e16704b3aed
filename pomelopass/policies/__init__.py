"""Hold one endpoint choice policy per file."""
