"""Cells: tenants or keys confined to parts of the fleet, and moved between them while they are served.

`draw` finds the servers of a cell, `evidence` who harms servers, `ward` what is done with those, `moves` how a tenant
changes its cell, `rebalance` which should; `core` puts them together: events in, actions out. All of these are pure:
no I/O, no clock, no unseeded random source. `table` is the operator's `[cells]`; `keep` the one file with state;
`command` the operator's command line.

The pure ones may import `cloverhold.decision` and the hash library. The node imports `core`, `table` and `keep`, and
only where the operator's file switches cells on.
"""
