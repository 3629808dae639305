"""What goes over sockets: the calling side of HTTP/1.1, shared by the sender and the router."""
