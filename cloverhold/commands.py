"""How commands that are written with click are run from `cloverhold.cli`."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

BAD = 2  # input that cannot be used


def run(command: click.Command, words: Sequence[str], prog_name: str) -> int:
    """Run a command; its exit status. Bad input is one line, and BAD."""
    try:
        status = command.main(list(words), prog_name=prog_name, standalone_mode=False)
    except click.ClickException as error:
        print(f"{prog_name}: {' '.join(error.format_message().split())}", file=sys.stderr)
        return BAD
    except click.Abort:
        return BAD
    return status if isinstance(status, int) else 0
