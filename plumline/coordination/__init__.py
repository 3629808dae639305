"""Coordination protocols as state machines without I/O: views, replication, leases, failure detection.

`core.Core` steps the protocols of a registrar together. `rendezvous` and `retry_budget` are used by routers.
"""
