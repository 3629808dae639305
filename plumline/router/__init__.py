"""The router: handling of requests after they were read, and the process around it."""
