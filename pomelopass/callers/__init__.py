"""Carry a request of a caller to an endpoint and back."""
