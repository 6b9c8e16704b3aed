"""Track the instances of the fleet and which of them are alive."""
