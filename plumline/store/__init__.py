"""The durable file of a process, and the thread that writes it."""
