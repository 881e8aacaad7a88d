"""An embedded store that survives cuts: an append-only log of checksummed records in segments, an index in memory.

`codec` is the bytes of records, heads and manifests; `recovery` what a directory's files mean after any cut; `log` the
open store: what is buffered, durable and live, and which segment to compact. These decide and do no I/O of their own:
`log` and `recovery` speak to a `Disk`, and know neither time nor threads. `real` is the file system, `simulated` one
that loses what real ones lose; `sent` keeps which unsafe requests may have run. docs/store-format.md has the formats.

May import `google_crc32c` and the standard library; `real` alone touches files. Not imported where it is off.
"""
