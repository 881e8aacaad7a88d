"""`cloverhold store`: looks at a store, and mends what an operator decides to mend. docs/store.md."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import click

from cloverhold.store.codec import StoreError
from cloverhold.store.disk import MANIFEST
from cloverhold.store.log import Log, switch
from cloverhold.store.real import RealDisk
from cloverhold.store.recovery import Recovered, recover, salvage

TRIES = 5  # a live store may switch its manifest between two reads

folder = click.argument("path", metavar="DIR", type=click.Path(exists=True, file_okay=False))


@contextmanager
def plainly(path: str) -> Iterator[None]:
    """What is wrong with a store, in a line."""
    try:
        yield
    except (StoreError, OSError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def read(path: str, *, copied: bool = True) -> Recovered:
    """A store as it stands, also while a node writes it. Raises StoreError, OSError."""
    disk = RealDisk(path, write=False)
    for _ in range(TRIES):
        before = disk.read(MANIFEST)
        try:
            return recover(disk, copied=copied)
        except (StoreError, FileNotFoundError):
            if disk.read(MANIFEST) == before:
                raise
    return recover(disk, copied=copied)


@click.group()
def main() -> None:
    """The embedded store: check, dump, compact, adopt, salvage."""


@main.command()
@folder
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def check(path: str, as_json: bool) -> None:
    """Whether a store can be used; changes nothing, also on a live one. Status 1 where it cannot.

    Example: cloverhold store check /var/lib/cloverhold
    """
    with plainly(path):
        found = read(path)
    copied = found.manifest.place != RealDisk(path, write=False).place()
    said = {
        "records": found.sequence, "keys": len(found.live), "segments": len(found.manifest.sealed) + 1,
        "epoch": found.manifest.epoch, "tail_bytes": found.dropped, "copy": copied,
    }  # fmt: skip
    if as_json:
        click.echo(json.dumps(said))
        return
    click.echo(", ".join(f"{name} {value}" for name, value in said.items()))
    if copied:
        click.echo("a node will not start on this copy: `cloverhold store adopt` if none newer is left")


@main.command()
@folder
def dump(path: str) -> None:
    """Every key and value as JSON lines (hexadecimal); changes nothing, also on a live store.

    Example: cloverhold store dump /var/lib/cloverhold | wc -l
    """
    with plainly(path):
        found = read(path)
    for key, record in found.live.items():
        click.echo(json.dumps({"key": key.hex(), "value": record.value.hex(), "sequence": record.sequence}))


@main.command()
@folder
def compact(path: str) -> None:
    """Compact a store that no node holds.

    Example: cloverhold store compact /var/lib/cloverhold
    """
    with plainly(path), _held(path) as disk:
        log = Log(disk, bytes(16), segment_bytes=1)
        before = log.size()
        while log.compact():
            pass
        click.echo(f"{before} bytes, now {log.size()}")


@main.command()
@folder
def adopt(path: str) -> None:
    """Say that a copied or moved store is the one to use. Requests sent after the copy was made may run again.

    Example: cloverhold store adopt /var/lib/cloverhold
    """
    with plainly(path), _held(path) as disk:
        manifest = recover(disk, copied=True).manifest
        switch(disk, replace(manifest, place=disk.place()))
    click.echo("adopted")


@main.command(name="salvage")
@folder
@click.argument("out", type=click.Path(exists=False))
def salvage_command(path: str, out: str) -> None:
    """Take what can be read of a damaged store into a new one; the old one stays as it is.

    Example: cloverhold store salvage /var/lib/cloverhold /var/lib/cloverhold.new
    """
    with plainly(path):
        live, lines = salvage(RealDisk(path, write=False))
    with plainly(out), _held(out) as disk:
        log = Log(disk, os.urandom(16))
        for key, value in live.items():
            log.put(key, value)
        log.flush()
    for line in lines:
        click.echo(line, err=True)
    click.echo(f"{len(live)} keys taken, {len(lines)} places damaged")


@contextmanager
def _held(path: str) -> Iterator[RealDisk]:
    disk = RealDisk(path)
    try:
        yield disk
    finally:
        disk.close()
