"""Soak tests of entry instances under random fault injection."""
