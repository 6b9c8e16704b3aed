"""Bring the weights of model engines to the named versions."""
