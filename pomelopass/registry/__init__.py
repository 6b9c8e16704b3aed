"""Know the endpoints, their load and what they did for us."""
