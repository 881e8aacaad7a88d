"""`cloverhold fleet`: what a node knows of its fellows, asked over its management address (docs/membership.md), and
what a fleet of some size asks (docs/CAPACITY.md).

Exit status 0: answered; 1: the node does not answer, or has no membership; 2: bad input.
"""

from __future__ import annotations

import http.client
import json
from typing import Any

import click

from cloverhold.net.discovery.server_list import parse_address

PATIENCE_S = 3.0
MEMBERS, LIST = "/_members", "/_list"
COLUMNS = ("number", "state", "incarnation", "since", "rtt ms", "lost", "program", "why")


class _At(click.ParamType[tuple[str, int]]):
    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> tuple[str, int]:
        """An address; a usage error where it is none."""
        try:
            return parse_address(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


AT = click.option("--at", type=_At(), required=True, help="A node's management address, host:port.")
AS_JSON = click.option("--json", "as_json", is_flag=True, help="For programs.")


def asked(at: tuple[str, int], path: str) -> Any:
    """What a node's management address says. Raises ClickException in plain words."""
    connection = http.client.HTTPConnection(*at, timeout=PATIENCE_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise click.ClickException(f"{at[0]}:{at[1]}: {error or type(error).__name__}") from None
    finally:
        connection.close()
    if response.status == 404 and path == MEMBERS:
        raise click.ClickException(f"{at[0]}:{at[1]}: this node runs without [membership] (docs/membership.md)")
    if response.status != 200:
        raise click.ClickException(f"{at[0]}:{at[1]}: {response.status} {response.reason}")
    try:
        return json.loads(body)
    except ValueError:
        raise click.ClickException(f"{at[0]}:{at[1]}: no node's answer") from None


@click.group()
def main() -> None:
    """Nodes among nodes, as one of them sees it: a hint for routing, never a permission."""


@main.command()
@click.option("--nodes", type=click.IntRange(2), default=6_600, show_default=True)
@click.option("--servers", type=click.IntRange(1), default=79_000, show_default=True)
@click.option("--services", type=click.IntRange(1), default=3_100, show_default=True)
@click.option("--requests", type=click.FloatRange(0, min_open=True), default=650_000.0, show_default=True,
              help="A second, of all nodes.")  # fmt: skip
@click.option("--tenants", type=click.IntRange(1), default=190_000, show_default=True)
@click.option("--slopes", is_flag=True, help="The measured slopes instead: what the table is reckoned from.")
def capacity(nodes: int, servers: int, services: int, requests: float, tenants: int, slopes: bool) -> None:
    """What a fleet of this size asks of each role, beside its budget (docs/CAPACITY.md). Past the sizes that were
    measured it is a line drawn on, and no more.

    Example: cloverhold fleet capacity --nodes 200 --servers 2400 --services 90 --tenants 5000 --requests 20000
    """
    from cloverhold.fleet.capacity.page import measured, reckoned, sloped
    from cloverhold.fleet.capacity.reckoning import Size

    size = Size(nodes, servers, services, requests, tenants=tenants)
    found = measured()
    click.echo("\n".join(sloped(found.values()) if slopes else reckoned(size, found)))


@main.command()
@AT
@AS_JSON
def members(at: tuple[str, int], as_json: bool) -> None:
    """Who is there, since when and why, with round trips and loss of the links that this node watches.

    Example: cloverhold fleet members --at 10.0.0.4:9000
    """
    told = asked(at, MEMBERS)
    if as_json:
        click.echo(json.dumps(told))
        return
    doubt = ", in doubt" if told["in_doubt"] else ""
    acts = "acts on its view" if told["acts_on_view"] else "shows no view"
    click.echo(f"number {told['me']}: {told['phase']} ({told['incarnation']}), {acts}{doubt}")
    rows = [COLUMNS] + [
        (
            str(m["number"]), m["state"], str(m["incarnation"]), f"{m['since_s']:.1f} s",
            "-" if m["rtt_ms"] is None else f"{m['rtt_ms']:.2f}", "-" if m["lost"] is None else f"{m['lost']:.0%}",
            m["program"], m["why"],
        )
        for m in told["members"]
    ]  # fmt: skip
    widths = [max(len(row[at]) for row in rows) for at in range(len(COLUMNS))]
    for row in rows:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


@main.command(name="list")
@AT
@AS_JSON
def server_list(at: tuple[str, int], as_json: bool) -> None:
    """How many servers a node's list names, and since when and by which answer it names nobody.

    Example: cloverhold fleet list --at 10.0.0.4:9000
    """
    told = asked(at, LIST)
    if as_json:
        click.echo(json.dumps(told))
        return
    if told["version"] is None:
        click.echo("no list yet")
        return
    click.echo(f"version {told['version']}: {told['servers']} servers, {told['withheld']} of them get nothing new")
    if (empty := told["names_nobody"]) is not None:
        by = f"version {empty['version']} of discovery at {empty['discovery']}"
        click.echo(f"the list names nobody, for {empty['for_s']:.1f} s, by {by}")
