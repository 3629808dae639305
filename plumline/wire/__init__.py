"""Network protocols: HTTP/1.1 client and server, and frames between the processes of the system."""
