"""Roll-out of service versions: the controller of each roll-out, a singleton job of the `discovery` lease."""
