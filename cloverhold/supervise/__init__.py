"""Several workers behind one port: `cloverhold run --workers N`.

`core` decides (pure: events in, actions out; no asyncio, no sockets, no clock), `shell` starts processes and passes on
what they say, `worker` is the other end, inside a node. Nothing else of the node is imported by the first two.
"""
