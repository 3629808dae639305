"""A soak: real processes on loopback that are stopped, restarted and changed while clients use them.

`plan` draws what happens from a seed, `clients` keeps connections and notes each request, `judge` says which
requests were lost, `runner` joins them with the processes and the stand-ins around them.
"""
