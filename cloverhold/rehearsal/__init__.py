"""The rehearsal kit: real nodes before a stand-in fleet that fails on a script, and a judge of what came of it.

What decides or judges (`scenario`, `faults`, `plan`, `machine`, `catalog`, `front`, `ledger`, `rules`, `judge`,
`service`, `spoil`, `wire`) does no I/O and imports neither asyncio nor sockets. Round these lie the shells that speak
on loopback (`servers` and `peer`, `agents`, `clients`, `hostile`, `nodes`) and `stage`, which starts, runs and ends
them. The kit speaks to nodes by their public formats alone and imports none of their code; the node never imports
the kit. The kit needs the extra `rehearsal` of pyproject.toml.
"""
