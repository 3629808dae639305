"""Differential check of the configuration: compares routers after random changes with a reference model."""
