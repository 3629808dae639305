"""The data plane's request path after a request has been read."""
