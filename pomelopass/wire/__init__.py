"""Hold the messages between instances."""
