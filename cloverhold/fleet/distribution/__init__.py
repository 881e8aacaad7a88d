"""Configuration and lists in scopes: versioned, told as changes, checked whole, durable before they are in force.

docs/design/distribution.md says why so. The cores are pure; `shell`, `client`, `roles` and `lists` do I/O. A serving
node imports `lists` only where the operator's file has `[distribution]`.
"""
