"""plumline: a router fleet with an index of kept prompts, and the core that runs it."""

__version__ = "0.1.0"
