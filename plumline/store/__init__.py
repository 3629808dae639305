"""Durable state of a process: a write-ahead log of checksummed records, and its writers."""
