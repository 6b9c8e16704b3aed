"""Check, publish and adopt full configurations."""
