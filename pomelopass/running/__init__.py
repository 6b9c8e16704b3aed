"""Hold the state of an instance and its periodic work."""
