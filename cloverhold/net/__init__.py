"""The real node's sockets: clients, servers, discovery, and the host of the decision module."""
