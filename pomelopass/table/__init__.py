"""Access the shared table service, directly or through a peer."""
