"""Stand in for the platform, endpoints and trainers in tests."""
