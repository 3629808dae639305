"""The control plane: what a `core` machine does while it holds a lease, and for the operator."""
