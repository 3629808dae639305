"""plumline: a router fleet with a prefix-cache index, and the replicated core that coordinates it."""

__version__ = "0.1.0"
