"""Define the thrift messages that instances exchange."""
