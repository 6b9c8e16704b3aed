"""Run entry processes under random faults and check what they promise."""
