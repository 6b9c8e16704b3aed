"""Translate to and from the protocols of the users' platform."""
