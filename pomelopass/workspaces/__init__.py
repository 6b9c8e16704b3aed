"""Workspaces, their keys, and what requests may do with them."""
