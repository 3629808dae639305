"""Roll-out of model versions to endpoints: a singleton job of the holder of the `weights` lease."""
