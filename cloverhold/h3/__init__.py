"""HTTP/3 without sockets: what streams owe, who may connect, keys that last, and one connection in bytes and events.

Pure but for the QUIC library (qh3) in `session`, which does no I/O either: datagrams and the time go in, datagrams and
events come out. The shells are `cloverhold.net.fronts.http3` and, towards servers, `cloverhold.net.upstreams.http3`.
Loaded only where the operator's `[http3]` stands.
"""
