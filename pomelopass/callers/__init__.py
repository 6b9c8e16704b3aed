"""Forward requests of callers to endpoints and return the replies."""
