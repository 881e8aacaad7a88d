"""Who is there among the nodes: a hint for routing, never a permission.

`core` decides (events in, actions out, time is told, chance is seeded) with `words`, `rings`, `links`, `votes`, `book`,
`rumours`, `joining` and `doubt`; `shell` holds the socket. docs/design/membership.md argues it, docs/membership.md is
for operators.
"""
