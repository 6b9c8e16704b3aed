"""Make the batches that trainers ask for."""
