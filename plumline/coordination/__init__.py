"""Agreement between processes as pure state machines: views, chain, leader leases, ring, retry budget."""
