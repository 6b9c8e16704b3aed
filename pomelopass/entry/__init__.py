"""Run one entry instance on the platform."""
