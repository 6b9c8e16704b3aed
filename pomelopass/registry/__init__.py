"""Registry of endpoints with their load, health and selection."""
