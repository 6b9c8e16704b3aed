"""Define the exit statuses of the server programs."""

__all__ = ['ADDRESS_IN_USE', 'BAD_SETTINGS']

BAD_SETTINGS = 2
ADDRESS_IN_USE = 3
