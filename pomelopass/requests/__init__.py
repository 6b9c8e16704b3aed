"""Carry requests of callers to endpoints and answers back."""
