"""Hold the code that thrift generates from the files beside it."""
