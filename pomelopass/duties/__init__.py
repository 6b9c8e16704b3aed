"""Implement the duties, one per module."""
