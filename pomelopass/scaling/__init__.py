"""Order as many engines as the demand needs."""
