"""Accept jobs from trainers, run their items and store the results."""
