"""Roll-out of service versions: a singleton job of the holder of the `discovery` lease."""
