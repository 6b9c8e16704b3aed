"""Define HTTP routes, one group per module."""
