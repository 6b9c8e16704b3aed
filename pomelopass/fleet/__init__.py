"""Know the instances of the fleet and which of them live."""
