"""Run an entry instance of the platform."""
