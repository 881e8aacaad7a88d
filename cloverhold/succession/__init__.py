"""Several processes of one node beside each other, while it is upgraded: one core without I/O, and its shell.

Loaded only where the platform holds the clients' listening socket.
"""
