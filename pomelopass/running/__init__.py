"""Manage the state and the periodic work of an instance."""
