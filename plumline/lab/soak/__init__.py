"""A soak: real processes on loopback that are stopped, restarted and changed while clients use them.

`plan` and `faults` draw the events from a seed, `clients` keeps connections and records each request, `judge`
determines which requests were lost, and `runner` runs them with the processes and simulated services.
"""
