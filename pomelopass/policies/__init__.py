"""Policies for the choice of an endpoint, one per module."""
