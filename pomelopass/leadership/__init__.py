"""Elect the instance that performs each duty of the fleet."""
