"""Stand-ins for the platform, endpoints and trainers in tests."""
