"""What a scope's values mean: typed resources, read and checked as one content. Pure.

A key is a kind and a name, `server/s1`; its value is the resource of that kind in MessagePack, fields in order. First
each resource's shape is checked, then what they say of one another within the scope. A fault is one line that names
resource and field. `schema` is what the operators' tools go by.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from cloverhold.fleet.distribution.interface import Entries, Refusal

Name = Annotated[str, Meta(min_length=1, max_length=255, pattern="^[!-~]+$")]
Text = Annotated[str, Meta(max_length=255, pattern="^[ -~]*$")]
MOST_BYTES = 16 * 1024  # of one value
HELD_FROM = 4  # ready servers: of fewer any number may go
BUCKETS = 4096  # of tenants
CONFIRMED = "confirmed/removal"


class _Resource(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    def __post_init__(self) -> None:
        """A pattern's `$` lets a line's end pass, which a name that comes into a head must not have."""
        for name in self.__struct_fields__:
            value = getattr(self, name)
            for text in value if isinstance(value, tuple) else (value,):
                if isinstance(text, str) and not text.isprintable():
                    raise ValueError(f"{name}: has a character that is no text")


class Server(_Resource, frozen=True):
    """One server of a service."""

    address: Annotated[str, Meta(pattern=r"^[!-~]+:[0-9]{1,5}$", max_length=255)]
    zone: Text = ""
    model: Text = ""
    group: Annotated[int, Meta(ge=0, lt=1 << 31)] = 0
    state: Literal["active", "leaving"] = "active"
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    boot_ms: Annotated[int, Meta(ge=0, lt=1 << 53)] = 0


class Route(_Resource, frozen=True):
    """Requests of a host under a path go to the scope's service, as a class."""

    host: Name
    prefix: Annotated[str, Meta(min_length=1, max_length=1024, pattern="^/[!-~]*$")]
    kind: Name  # the class's name


class Class(_Resource, frozen=True):
    """One class of requests, and its limits at a node; 0: none."""

    aim_ms: Annotated[float, Meta(gt=0, le=3.6e6)]
    deadline_ms: Annotated[float, Meta(gt=0, le=3.6e6)]
    repeat: Literal["safe", "keyed", "unsafe"] = "unsafe"
    worth: Annotated[float, Meta(ge=0, le=1e6)] = 1.0
    open_most: Annotated[int, Meta(ge=0, lt=1 << 31)] = 0
    per_s_most: Annotated[float, Meta(ge=0, le=1e9)] = 0.0


class Service(_Resource, frozen=True):
    """One service: what it is dealt by."""

    load: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    copies: Annotated[int, Meta(ge=1, le=10_000)] = 10


class Tenant(_Resource, frozen=True):
    """One tenant's share, over all nodes."""

    quota_per_s: Annotated[float, Meta(ge=0, le=1e9)]
    cell: Text = ""


class Cell(_Resource, frozen=True):
    """Servers of the scope that the cell's tenants are confined to."""

    servers: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=1000)]


class Confirmed(_Resource, frozen=True):
    """Whoever changes this says that the version may take away as many servers as it does."""

    by: Text
    number: Annotated[int, Meta(ge=0, lt=1 << 53)] = 0


KINDS: dict[str, type[_Resource]] = {
    "server": Server, "route": Route, "class": Class, "service": Service, "tenant": Tenant, "cell": Cell,
    "confirmed": Confirmed,
}  # fmt: skip
HOLDS = {
    "fleet": ("class",),
    "services": ("service",),
    "service": ("server", "route", "cell", "confirmed"),
    "tenants": ("tenant",),
}
ALONE = ("fleet", "services")  # scopes of which there is one
_DECODERS: dict[str, Callable[[bytes], Any]] = {
    kind: msgspec.msgpack.Decoder(type_).decode for kind, type_ in KINDS.items()
}
_encode = msgspec.msgpack.Encoder().encode


class Wrong(ValueError):
    """Content that cannot be in force. The text is one line: resource, field, what is wrong."""


def write(resource: _Resource) -> bytes:
    """A resource's bytes."""
    return _encode(resource)


def written(key: str, fields: Mapping[str, Any]) -> bytes:
    """A resource from its fields by name. Raises Wrong."""
    kind = key.partition("/")[0]
    type_ = KINDS.get(kind)
    if type_ is None:
        raise Wrong(f"{key[:80]!r}: kinds are {', '.join(KINDS)}")
    names = type_.__struct_fields__
    for name in fields:
        if name not in names:
            raise Wrong(f"{key[:80]}: {name[:80]}: no such field")
    try:
        value = _encode(type_(**{n: tuple(v) if isinstance(v, list) else v for n, v in fields.items()}))
        _DECODERS[kind](value)
    except (msgspec.DecodeError, ValueError, TypeError, OverflowError) as error:
        raise Wrong(f"{key[:80]}: {_named(type_, str(error))}") from None
    return value


def kind_of(scope: str) -> str:
    """`fleet`, `services`, `service` or `tenants`. Raises Wrong for the name of no scope."""
    kind, slash, name = scope.partition("/")
    if kind not in HOLDS or bool(name) != (kind not in ALONE) or (slash and not name):
        raise Wrong(f"{scope[:80]!r}: no scope has such a name")
    if kind == "tenants" and not (name.isascii() and name.isdigit() and int(name) < BUCKETS):
        raise Wrong(f"{scope[:80]!r}: tenants lie in buckets 0 to {BUCKETS - 1}")
    return kind


def read(scope: str, content: Mapping[str, bytes], keys: Iterable[str] | None = None) -> dict[str, _Resource]:
    """The resources of a content, or of some of its keys, each of its shape. Raises Wrong."""
    allowed = HOLDS[kind_of(scope)]
    out: dict[str, _Resource] = {}
    for key in content if keys is None else keys:
        kind, _, name = key.partition("/")
        if kind not in allowed:
            raise Wrong(f"{key[:80]!r}: {scope} holds {', '.join(allowed)}")
        if not 0 < len(name) <= 1300 or not name.isascii() or not name.isprintable():
            raise Wrong(f"{key[:80]!r}: no name")
        if len(content[key]) > MOST_BYTES:
            raise Wrong(f"{key[:80]}: {len(content[key])} bytes, {MOST_BYTES} are allowed")
        try:
            out[key] = _DECODERS[kind](content[key])
        except (msgspec.DecodeError, ValueError, RecursionError) as error:  # ValidationError among them
            raise Wrong(f"{key[:80]}: {_named(KINDS[kind], str(error))}") from None
    return out


def _named(kind: type[_Resource], error: str) -> str:
    """The decoder's words with the field's name for its place: `... - at `$[2]``."""
    text, at, place = error.partition(" - at `$[")
    digits = place.partition("]")[0]
    if at and digits.isdigit() and int(digits) < len(kind.__struct_fields__):
        return f"{kind.__struct_fields__[int(digits)]}: {text}"
    return " ".join(error.split())


def meaning(resources: Mapping[str, _Resource]) -> None:
    """What the resources of one scope say of one another. Raises Wrong."""
    addresses: dict[str, str] = {}
    paths: dict[tuple[str, str], str] = {}
    for key, one in resources.items():
        match one:
            case Server(address):
                port = int(address.rpartition(":")[2])
                if not 0 < port < 65536:
                    raise Wrong(f"{key}: address: {port} is no port")
                if (other := addresses.setdefault(address, key)) != key:
                    raise Wrong(f"{key}: address: {address} is {other}'s too")
            case Route(host, prefix):
                if (other := paths.setdefault((host, prefix), key)) != key:
                    raise Wrong(f"{key}: prefix: {host}{prefix} is {other}'s too")
            case Cell(servers):
                for name in servers:
                    if f"server/{name}" not in resources:
                        raise Wrong(f"{key}: servers: there is no server {name}")
            case Class(aim_ms, deadline_ms) if aim_ms > deadline_ms:
                raise Wrong(f"{key}: aim_ms: {aim_ms:g} is over deadline_ms, {deadline_ms:g}")


def ready(resources: Mapping[str, _Resource]) -> set[str]:
    """The keys of servers that may get new work."""
    return {key for key, one in resources.items() if isinstance(one, Server) and one.state == "active"}


class Checker:
    """Says whether content may take force. Resources are kept as they were read, so a change costs what changed."""

    def __init__(self, held_part: float = 0.3) -> None:
        """held_part: of the ready servers; a version that takes away more is held until its mark is confirmed."""
        self.held_part = held_part
        self._read: dict[str, tuple[Mapping[str, bytes], dict[str, _Resource]]] = {}  # by scope: what was read last
        self._parts: dict[str, dict[str, tuple[bytes, _Resource]]] = {}  # by scope: of a word that is coming

    def part(self, scope: str, entries: Entries, first: bool) -> None:
        """Read a part. What is wrong is said when the whole is there."""
        held = self._parts.setdefault(scope, {})
        if first:
            held.clear()
        for entry in entries:
            if entry.value is not None:
                try:
                    held[entry.key] = entry.value, read(scope, {entry.key: entry.value})[entry.key]
                except Wrong:
                    return

    def __call__(self, scope: str, before: Mapping[str, bytes], after: Mapping[str, bytes]) -> Refusal | None:
        """A `Check` for a follower."""
        try:
            old = self.resources(scope, before) if before else {}
            new = self._following(scope, before, old, after)
            meaning(new)
        except Wrong as wrong:
            return Refusal(str(wrong))
        was = ready(old)
        gone = len(was - ready(new))
        if before.get(CONFIRMED) != after.get(CONFIRMED):
            gone = 0  # an operator has said so
        if len(was) >= HELD_FROM and gone > self.held_part * len(was):
            return Refusal(f"takes away {gone} of {len(was)} ready servers", held=True)
        self._read[scope] = after, new
        return None

    def resources(self, scope: str, content: Mapping[str, bytes]) -> dict[str, _Resource]:
        """A content's resources, checked before. Raises Wrong for what was not."""
        held = self._read.get(scope)
        if held is None or held[0] is not content:
            held = self._read[scope] = content, read(scope, content)
        return held[1]

    def _following(
        self, scope: str, before: Mapping[str, bytes], old: Mapping[str, _Resource], after: Mapping[str, bytes]
    ) -> dict[str, _Resource]:
        new = {key: one for key, one in old.items() if key in after}
        parts, rest = self._parts.pop(scope, {}), []
        for key, value in after.items():
            if before.get(key) != value or key not in old:
                value_read, one = parts.get(key, (None, None))
                if one is not None and value_read == value:
                    new[key] = one
                else:
                    rest.append(key)
        return new | read(scope, after, rest)


def page() -> Iterable[str]:
    """The kinds as tables in Markdown: docs/resources.md."""
    definitions = schema()["$defs"]
    for kind, type_ in KINDS.items():
        scope = next(scope for scope, kinds in HOLDS.items() if kind in kinds)
        yield f"## {kind}/NAME, in `{scope}`"
        yield ""
        yield " ".join((type_.__doc__ or "").split())
        yield ""
        yield "| field | type | allowed | where it is left out |"
        yield "| --- | --- | --- | --- |"
        items = definitions[type_.__name__]["prefixItems"]
        left_out: tuple[Any, ...] = type_.__struct_defaults__
        needed = len(items) - len(left_out)
        for at, (name, item) in enumerate(zip(type_.__struct_fields__, items, strict=True)):
            default = "must be there" if at < needed else f"`{left_out[at - needed]!r}`"
            yield f"| {name} | {item.get('type', 'string')} | {_allowed(item)} | {default} |"
        yield ""


def _allowed(item: Mapping[str, Any]) -> str:
    if "enum" in item:
        return ", ".join(item["enum"])
    words = {"minimum": "from", "maximum": "to", "exclusiveMinimum": "above", "exclusiveMaximum": "below",
             "minLength": "characters from", "maxLength": "characters to", "minItems": "from", "maxItems": "entries to",
             "pattern": "like"}  # fmt: skip
    said = [
        f"{word} `{item[key]}`" if key == "pattern" else f"{word} {item[key]:,}"
        for key, word in words.items()
        if key in item
    ]
    return ", ".join(said) or "any"


def schema() -> dict[str, Any]:
    """All kinds, as JSON Schema: a resource is an array of its fields in order, the last ones may be left out."""
    (_, components) = msgspec.json.schema_components(list(KINDS.values()))
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "scopes": {scope: list(kinds) for scope, kinds in HOLDS.items()},
        "kinds": {kind: {"$ref": f"#/$defs/{type_.__name__}"} for kind, type_ in KINDS.items()},
        "$defs": components,
    }
