"""Accept jobs of trainers, run their items and keep the results."""
