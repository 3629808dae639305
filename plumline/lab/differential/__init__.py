"""A differential check of the configuration: routers after random changes against a plain reading of it."""
