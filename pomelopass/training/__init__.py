"""Build the batches that trainers request."""
