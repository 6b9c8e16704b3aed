"""Decide when work leaves the availability zone, and how much of it."""
