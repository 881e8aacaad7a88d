"""Configuration and lists in scopes: versioned, told as changes, checked whole, durable before they are in force.

docs/design/distribution.md says why so. Pure cores so far; nothing of it is imported by a node.
"""
