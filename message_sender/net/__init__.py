"""The sender process: runs the decision module on sockets."""
