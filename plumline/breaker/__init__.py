"""The circuit breaker of one destination, the one copy of the sender and the router."""
