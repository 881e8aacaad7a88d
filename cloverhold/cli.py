"""`cloverhold`: the console command. It loads only what the chosen part needs; running a node loads no kit."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module

USAGE = """usage: cloverhold run                       one node, configured by PROXY_CONFIG
       cloverhold run --workers N           the same as N processes behind one port
       cloverhold rehearse [SCENARIO] ...   real nodes before a stand-in fleet that fails on a script
       cloverhold soak --seed N --seeds M   random, overlapping faults, judged by the rules
       cloverhold simulate fleet DAY ...    a whole fleet in simulated time
       cloverhold cells plan|move|undo|status ...
       cloverhold store check|dump|compact|adopt|salvage DIR
       cloverhold fleet members --at HOST:PORT
       cloverhold --version

`--help` behind each tells more. CLOVERHOLD_CONFIG names the operator's file,
where there is one (docs/cells.md)."""

PACKAGES = {"simulate": "simulation", "soak": "rehearsal.soak"}  # where a command is not called as its package


def main(argv: Sequence[str] | None = None) -> int:
    """Run the named part; its exit status. 2 where there is no such part."""
    words = list(sys.argv[1:] if argv is None else argv)
    match words:
        case ["run"]:
            from cloverhold.__main__ import main as node

            return node()
        case ["run", "--workers", count] if count.isdigit() and 0 < int(count) <= 256:
            from cloverhold.__main__ import main as node

            return node(int(count))
        case ["rehearse", *rest]:
            try:
                from cloverhold.rehearsal.cli import main as kit
            except ModuleNotFoundError as error:
                print(
                    f"the rehearsal kit needs {error.name}: pip install 'cloverhold[rehearsal]'",
                    file=sys.stderr,
                )
                return 2
            return kit(rest)
        case ["cells" | "fleet" | "simulate" | "soak" | "store" as name, *rest]:
            package = PACKAGES.get(name, name)
            try:
                command = import_module(f"cloverhold.{package}.command").main
            except ModuleNotFoundError as error:
                print(
                    f"{name} needs {error.name}: pip install 'cloverhold[{package.partition('.')[0]}]'", file=sys.stderr
                )
                return 2
            status: int | None = command(rest, prog_name=f"cloverhold {name}")
            return status or 0
        case ["--version"]:
            from cloverhold import __version__

            print(__version__)
            return 0
        case ["--help"] | ["-h"]:
            print(USAGE)
            return 0
    print(USAGE, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
