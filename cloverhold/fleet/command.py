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
COLUMNS = ("number", "state", "incarnation", "since", "rtt ms", "lost", "program", "why")


class _At(click.ParamType[tuple[str, int]]):
    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> tuple[str, int]:
        """An address; a usage error where it is none."""
        try:
            return parse_address(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


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
    if response.status == 404:
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
@click.option("--services", type=click.IntRange(1), help="[default: 3,100 for 79,000 servers]")
@click.option("--requests", type=click.FloatRange(0, min_open=True),
              help="A second, of all nodes. [default: 650,000 for 79,000 servers]")  # fmt: skip
@click.option("--tenants", type=click.IntRange(1), help="[default: 190,000 for 79,000 servers]")
@click.option("--slopes", is_flag=True, help="The measured slopes instead: what the table is reckoned from.")
def capacity(
    nodes: int, servers: int, services: int | None, requests: float | None, tenants: int | None, slopes: bool
) -> None:
    """What a fleet of this size asks of each role, beside its budget (docs/CAPACITY.md). Past the sizes that were
    measured it is a line drawn on, and no more; below them it is the smallest that was measured.

    Example: cloverhold fleet capacity --nodes 200 --servers 2400 --services 90
    """
    from cloverhold.fleet.capacity.page import measured, reckoned, sloped
    from cloverhold.fleet.capacity.reckoning import in_share

    size = in_share(nodes, servers, services=services, requests_per_s=requests, tenants=tenants)
    found = measured()
    click.echo("\n".join(sloped(found.values()) if slopes else reckoned(size, found)))


@main.command()
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
def distribute(path: str) -> None:
    """Run a writer, a relay or a node of configuration in scopes, as FILE's [distribution] says.

    Example: cloverhold fleet distribute relay-1.toml
    """
    from cloverhold.config.reading import ConfigFaults, read_tables
    from cloverhold.fleet.distribution.roles import main as run
    from cloverhold.fleet.distribution.table import DistributionTable

    try:
        table = read_tables(path, {"distribution": DistributionTable}).get("distribution")
    except ConfigFaults as faults:
        for line in faults.lines:
            click.echo(line, err=True)
        raise SystemExit(2) from None
    if not isinstance(table, DistributionTable):
        click.echo(f"{path}: [distribution] is missing", err=True)
        raise SystemExit(2)
    raise SystemExit(run(table))


@main.command()
@click.option("--at", type=_At(), required=True, help="A writer's or a relay's address, host:port.")
@click.option("--fleet", required=True, help="The name that all its processes share.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def config(at: tuple[str, int], fleet: str, as_json: bool) -> None:
    """Who runs which version of which scope, and who refused what and why, as a relay or a writer knows it.

    Example: cloverhold fleet config --at 10.0.0.4:9100 --fleet lima
    """
    import asyncio

    from cloverhold.fleet.distribution.client import Unanswered, who

    try:
        _, rows = asyncio.run(who(at, fleet))
    except Unanswered as error:
        raise click.ClickException(f"{at[0]}:{at[1]}: {error}") from None
    told = [
        {"name": r.name, "scope": r.scope, "holds": r.held.version if r.held else None,
         "refused": r.refused.version if r.refused else None, "why": r.why if r.refused else ""}
        for r in rows
    ]  # fmt: skip
    if as_json:
        click.echo(json.dumps(told))
        return
    lines = [("name", "scope", "holds", "refused", "why")]
    for row in told:
        holds, refused = (".".join(map(str, v)) if v else "-" for v in (row["holds"], row["refused"]))
        lines.append((str(row["name"]), str(row["scope"]), holds, refused, str(row["why"])))
    widths = [max(len(line[at]) for line in lines) for at in range(len(lines[0]))]
    for line in lines:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


@main.command()
@click.option("--at", type=_At(), required=True, help="The writer's address, host:port.")
@click.option("--fleet", required=True, help="The name that all its processes share.")
@click.option("--scope", required=True, help="fleet, services, service/NAME or tenants/BUCKET.")
@click.argument("path", metavar="FILE", type=click.File("rb"))
def change(at: tuple[str, int], fleet: str, scope: str, path: Any) -> None:
    """Make one change of a scope: FILE is a JSON object of keys, each with its fields, or null to delete it.

    Example: echo '{"server/s1": {"address": "10.0.0.9:80"}, "server/s2": null}' | cloverhold fleet change
    --at 10.0.0.4:9100 --fleet lima --scope service/a -
    """
    import asyncio

    from cloverhold.fleet.distribution import client
    from cloverhold.fleet.distribution.resources import Wrong, kind_of, written

    try:
        told = json.load(path)
        if not isinstance(told, dict) or not all(v is None or isinstance(v, dict) for v in told.values()):
            raise Wrong("an object of keys is needed, each with an object of fields or null")
        kind_of(scope)
        values = {key: None if fields is None else written(key, fields) for key, fields in told.items()}
    except ValueError as error:  # Wrong, and what is no JSON
        click.echo(f"{path.name}: {error}", err=True)
        raise SystemExit(2) from None
    try:
        answer = asyncio.run(client.change(at, fleet, scope, values))
    except client.Unanswered as error:
        raise click.ClickException(f"{at[0]}:{at[1]}: {error}: not known whether it was made") from None
    if answer.mark is None:
        raise click.ClickException(answer.why)
    click.echo(f"{scope}: {answer.mark.epoch}.{answer.mark.number}")


@main.command()
@click.option("--json", "as_json", is_flag=True, help="As JSON Schema.")
def resources(as_json: bool) -> None:
    """The kinds of resources that configuration in scopes holds, with their fields (docs/resources.md).

    Example: cloverhold fleet resources --json
    """
    from cloverhold.fleet.distribution.resources import page, schema

    click.echo(json.dumps(schema(), indent=2) if as_json else "\n".join(page()))


@main.command()
@click.option("--at", type=_At(), required=True, help="A node's management address, host:port.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def members(at: tuple[str, int], as_json: bool) -> None:
    """Who is there, since when and why, with round trips and loss of the links that this node watches.

    Example: cloverhold fleet members --at 10.0.0.4:9000
    """
    told = asked(at, "/_members")
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
