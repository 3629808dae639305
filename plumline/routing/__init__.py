"""What a router knows of the fleet, and the decisions made from it."""
