"""The control plane of a `core` machine: the roles that leases assign, the feed and the operators' API."""
