"""Agreement between processes as pure state machines: views, chain, ballots, ring, retry budget."""
