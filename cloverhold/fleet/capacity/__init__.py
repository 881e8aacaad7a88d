"""What a fleet of some size asks of each role, from slopes that were measured. Nothing of it is imported by a node."""
