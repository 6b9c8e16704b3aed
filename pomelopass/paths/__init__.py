"""Paths to endpoints: own links, or those of a peer while they fail."""
