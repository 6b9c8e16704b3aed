"""Roll out the target weight versions of models to the engines."""
