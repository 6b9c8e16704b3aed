"""Kinds of configuration objects, one per module."""
