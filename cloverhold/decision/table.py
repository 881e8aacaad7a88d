"""The design's table: a row per server, the probes that overwrite rows, and the pick.

Servers are filed in an index by what makes them alike (`Profile`), by load and by row, and filed anew when
one of these changes. What drifts for all at once (the mean work, the mean size) a server takes over at its
next event, or when the balancer's round comes to it: no event costs a walk over the servers.
"""

from __future__ import annotations

import math
from random import Random

from cloverhold.decision.index import Choice, Index, Level, Prefix
from cloverhold.decision.interface import ClassSettings, Group, LoadReport, Repeat, Settings
from cloverhold.decision.learned import WARM, Learned, Warming
from cloverhold.decision.pools import Pool
from cloverhold.decision.records import Profile, Server
from cloverhold.decision.state import RequestState
from cloverhold.decision.steps import PACE, POWER, load_key

# Part of all service that a node may spend on probes; with their price this gives d, on average. Guards
# against a fleet that pays more for what it asks than it is worth: a probe a request at 0.08 cost 0.08.
PROBE_SPEND = 0.01
MOST_PROBES = 5  # d is never more: further replies would bring next to nothing new
# Servers that a node keeps to: at least so many, and so many that each server is shared by this many nodes.
# Of 40 nodes at 60 servers 3 to 6 do as well, 7, 10 and 14 less and less: each further one takes connections,
# each a handshake as dear as a third of a request, and each knows less of what the others hold there.
SUBSET_LEAST, SUBSET_SHARED = 4, 5
# Times are multiples of the tightest aim: where all goes faster, a fixed one outlasts what it was made for.
AVERAGE = 60.0  # time over which a server's surplus in old reports is averaged
STALE = 0.03  # part of the reports that may miss what is known to be out before all are taken for old
CROWD = 0.4  # part of the tightest aim that work waiting at a server may take
# Requests by which a node's usual number of them is steadied: one that has a third of a request out, as
# among 200 nodes, else takes each that comes for a threefold rise of all traffic, and holds back the next.
STEADY = 3.0


class Table:
    """Rows, the servers that this node keeps to, and the pick."""

    def __init__(self, settings: Settings, learned: Learned, warming: Warming, random: Random) -> None:
        self.learned, self.warming, self.random = learned, warming, random
        self.servers: dict[str, Server] = {}
        self.prefix: Prefix[Server] = Prefix(self.place)
        self.ready = self.prefix.items  # in an order of this node's own
        self.well: Index[Profile, Server] = Index()  # of the servers it keeps to, those that look well
        self.unwell: Index[Profile, Server] = Index()  # the first of those that do not, for when none does
        self.free: Choice[Server] = Choice()  # that may be probed
        # Members of a group that a keyed repeat keeps to. Zones are few and part of the profile.
        self.cells: dict[tuple[str, int], Choice[Server]] = {}
        self.by_cell = False
        self.many = True  # whether nodes are so many that this one's requests tell little of theirs
        self.rows = 0  # sum over ready servers
        self.sizes = 0.0  # likewise
        self.stale = 2 * STALE  # part of the reports that this node knows to be old; at first, till shown
        self.rtt: float | None = None  # how long a probe takes, on average
        self.level = 0.0  # mean of the last reports
        self.held = 0  # attempts of this node that are out
        self.own, self.others = 1 / max(1, settings.nodes - 1), 1.0  # held at a server by it, by others
        self.settle(settings, settings.classes)

    def settle(self, settings: Settings, classes: tuple[ClassSettings, ...]) -> None:
        """New settings: all that follows from them alone. Rows stay; servers are to be reviewed."""
        self.settings, self.shared = settings, settings.nodes > 1
        keyed = [c.group for c in classes if c.repeat is Repeat.KEYED]
        self.by_zone, by_cell = Group.ZONE in keyed, Group.CELL in keyed
        if by_cell and not self.by_cell:
            for server in self.ready:
                self.cells.setdefault((server.entry.zone, server.entry.cell), Choice()).add(server)
        self.by_cell = by_cell or self.by_cell  # kept once it is: what leaves is then taken out as it came in
        self.kinds = {c.name: at for at, c in enumerate(classes)}
        price = settings.probe_price
        self.d = PROBE_SPEND / price if price * MOST_PROBES > PROBE_SPEND else MOST_PROBES
        # Work that takes this long to wait for is a crowd; a row of this age says nothing.
        self.tightest = min(c.aim_ms for c in settings.classes)
        self.crowd_ms = CROWD * self.tightest
        if self.ready:
            self._resize()

    # ------------------------------------------------------------------------------------------- membership

    def enter(self, server: Server, *, well: bool) -> None:
        """A server is ready. It enters at the mean of the other rows until its first probe reply."""
        server.row = round(self.rows / len(self.ready)) if self.ready else 0
        server.ready = True
        self.sizes += server.size
        if self.by_cell:
            self.cells.setdefault((server.entry.zone, server.entry.cell), Choice()).add(server)
        self.prefix.add(server.rank, server, well=well)
        self._resize()

    def leave(self, server: Server) -> None:
        """A server wants nothing new, or is gone."""
        server.ready = False
        self.sizes -= server.size
        self.rows -= server.counted
        server.counted = 0
        if self.by_cell:
            key = (server.entry.zone, server.entry.cell)
            self.cells[key].discard(server)
            if not self.cells[key].items:
                del self.cells[key]
        self.prefix.remove(server.rank, server)
        self.place(server)
        self._resize()

    def _resize(self) -> None:
        """Guards against full connection tables: with many nodes at every server none takes them all."""
        ready = len(self.ready)
        part = 1.0 if self.settings.pools else SUBSET_SHARED / self.settings.nodes  # any may be in a pool
        self.prefix.resize(max(SUBSET_LEAST, math.ceil(part * ready)))
        self._shared_by()
        self.learned.mean_size = self.sizes / ready if ready and self.sizes > 0 else 1.0

    def _shared_by(self) -> None:
        """Where servers fail, every node reaches further, and more of them come to each that is left."""
        self.warming.shared_by(self.settings.nodes * self.prefix.edge / max(1, len(self.ready)))

    def turn(self, server: Server, *, well: bool) -> None:
        """A ready server looks well from now on, or no longer."""
        edge = self.prefix.edge
        self.prefix.turn(server, well=well)
        if self.prefix.edge != edge:
            self._shared_by()

    def resized(self, server: Server, size: float) -> None:
        """A ready server's stated size has changed."""
        self.sizes += size - server.size
        server.size = size
        self._resize()

    def looks_well(self, server: Server) -> bool:
        """Whether a ready server looked well at its last review."""
        return server in self.prefix.well

    def usable(self) -> Index[Profile, Server]:
        """Those of them that look well; if none does, likelier by this node's own view: then the first."""
        return self.well if self.prefix.wells else self.unwell

    # ----------------------------------------------------------------------------------------------- filing

    def place(self, server: Server) -> None:
        """File a server where it belongs now, by its row, its load and what it was last found to be."""
        row, out, prefix = server.row, len(server.out), self.prefix
        if server.ready:
            self.rows += row - server.counted
            server.counted = row
        inside = server in prefix.inside
        if inside and server.probed_at is None and (self.shared or row > out):
            # A lone node knows what it sent: a row of just what is out cannot fall (the paper, section 6).
            self.free.add(server)
        else:
            self.free.discard(server)
        well, profile = server in prefix.well, server.profile
        if profile is None or server.closed or not (inside if well else server in prefix.leading):
            self.well.drop(server)
            self.unwell.drop(server)
            return
        index, other = (self.well, self.unwell) if well else (self.unwell, self.well)
        other.drop(server)
        index.file(server, profile, load_key(self.base(server)), row)

    def aged(self, server: Server, now: float) -> bool:
        """Guards against nodes that flock to what was low long ago."""
        return self.many and now - server.heard_at > self.crowd_ms

    # ------------------------------------------------------------------------------------------------- rows

    def overwrite(self, server: Server, report: LoadReport, spent: float, now: float) -> None:
        """A probe reply overwrites the row, the only way a row falls.

        Reports may be old, always or for a while, and all nodes would flock to what was low then. One
        that counts less than this node has had there for some time proves it. The row then holds what this
        node has there and what others should have: their usual for each request of this node, and the
        server's surplus over that; or, if more, what was reported. A lone node knows all that is there.
        """
        figure = report.inflight if report.inflight is not None else report.queue
        if figure is None:
            return
        self.rtt = spent if self.rtt is None else self.rtt + 0.05 * (spent - self.rtt)
        arrived = now - self.rtt - 2 * self.settings.tick_ms - 10
        known = sum(attempt.sent_at < arrived for attempt in server.out.values())
        if known:
            self.stale += 0.02 * ((figure < known - 0.5) - self.stale)
        others = figure - len(server.out)
        self.level += 0.1 * (figure - self.level)
        step = min(1.0, (now - server.heard_at) / (AVERAGE * self.tightest))
        part = step / max(1, self.prefix.edge)  # each of the servers that it keeps to tells its part
        self.own += part * (self.held / max(1, len(self.ready)) - self.own)
        # Late reports miss what is there as often as they show what has gone: cut off at nothing, the mean
        # would hold two nodes back by a half too much.
        self.others += part * (others - self.others)
        server.replies += 1
        server.surplus += step * (others - self.usual() - server.surplus)
        server.heard_at = now
        if self.old():
            others = max(self.usual() + server.surplus, others) if self.shared else 0.0
        server.row = len(server.out) + round(max(0.0, others))

    def old(self) -> bool:
        """Whether reports are old, or too few of each server: what is likely tells more then."""
        return self.stale > STALE or self.many

    def counted(self) -> bool:
        """A list has been taken over, `many` holds for it from now on; whether it has turned."""
        before, self.many = self.many, self.settings.nodes > 2 * len(self.ready)
        return before != self.many

    def usual(self) -> float:
        """What others hold at a server, by what this node holds now: a rise of all traffic shows at once."""
        steady = max(0.01, STEADY * (1 - 2 / self.settings.nodes))  # of two nodes each sees half: no sample
        return max(0.0, self.others) * (self.held + steady) / (self.own * max(1, len(self.ready)) + steady)

    def load(self, server: Server) -> float:
        """Requests at a server, for the bounds: its row; while reports are old what is likely there now; and
        at a lone node what it has there. Guards against waiting for probes where no more room can show.
        """
        return self.base(server) + self.shift()

    def shift(self) -> float:
        """The part of all loads that moves with every request."""
        return self.usual() if self.shared and self.old() else 0.0

    def base(self, server: Server) -> float:
        """The part of its load that moves only with the server."""
        if not self.shared:
            return len(server.out)
        if self.old():
            return len(server.out) + max(server.surplus, -self.usual())
        return server.row if server.replies else len(server.out)

    def probes(self, pool: Pool | None = None) -> list[Server]:
        """D distinct random ones, on average, of the servers that this node keeps to, of the pool if it has
        one; one probe at a time each, as servers take only a few.
        """
        count, part = int(self.d), self.d % 1
        if part and self.random.random() < part:
            count += 1
        if pool is None:
            return self.free.sample(self.random, count)
        free = [server for server in self.members(pool) if server in self.free]
        return self.random.sample(free, min(count, len(free)))

    # ------------------------------------------------------------------------------------------------- pick

    def most(self, pace: float) -> float:
        """The load at which a server of this pace has room for one more: bounds what waits there.

        Guards the tightest aim and keeps servers from being crowded into a slow state; what finds no room
        waits at this node, where it can still be ordered or refused.
        """
        # Nor does a fast server take more at once. One at work and one behind it are always allowed: a node
        # that learned too long times, restarted into an overload, would else send nothing and never learn.
        most = self.crowd_ms / (self.learned.mix * max(1.0, pace))
        return load_key(max(1.0, most)) if self.shared else float(max(1, int(most)))

    def members(self, pool: Pool) -> list[Server]:
        """The ready servers of a pool."""
        known = (self.servers.get(name) for name in pool.servers or ())
        return [server for server in known if server is not None and server.ready]

    def within(self, pool: Pool) -> list[Server]:
        """What a pick looks at in a pool: its servers that look well; if none does, those that do not."""
        members = self.members(pool)
        index = self.well if any(server in self.prefix.well for server in members) else self.unwell
        return [server for server in members if server in index.places]

    def room(self, kind: str, pool: Pool | None) -> bool:
        """Whether any server has room for a request of this class, whatever else would speak against it."""
        at, shift = self.kinds[kind], self.shift()
        if pool is not None:
            places = [self.place_of(server) for server in self.within(pool)]
            return any(key[2][at] is not None and load + shift <= key[0] for key, load, _ in places)
        return any(
            figures[at] is not None and min(levels) + shift <= most
            for (most, _, figures, _, _, _), levels in self.usable().buckets.items()
        )

    def place_of(self, server: Server) -> tuple[Profile, float, int]:
        """Where a server is filed; it must be."""
        return self.well.places.get(server) or self.unwell.places[server]

    def fastest(self) -> float:
        """The least pace of the servers that look well."""
        return min((PACE[pace] for _, pace, _, _, _, _ in self.usable().buckets), default=1.0)

    def pick(self, request: RequestState, group: Group, left: float, own: float, idle: bool) -> Server | None:
        """A random lowest row among the servers that have room for a request and could answer it in time;
        None where there is none.

        left: time that it has, in ms; own: work of its own that it must wait for; idle: what waits at servers
        does not count, nor, where it is only guessed at, their room: a node that guesses too much would send
        nothing, and learn no better. A further attempt goes elsewhere where it can.
        """
        zone = request.first().zone if group is Group.ZONE else ""
        few: list[Server] | None = self.within(request.event.pool) if request.event.pool is not None else None
        if group is Group.CELL:
            few = self._among(few, request)
        tried = dict.fromkeys(a.server for a in request.attempts)  # in order: a set's is that of addresses
        if few is not None:
            fresh = [server for server in few if server not in tried]
            picked = self._lowest(fresh, request, zone, left, own, idle)
            if picked is None and len(fresh) < len(few):
                picked = self._lowest(few, request, zone, left, own, idle)
            return picked
        index = self.usable()
        taken = [(s, place) for s in tried if (place := index.drop(s)) is not None]
        picked = self._lowest(None, request, zone, left, own, idle)
        for server, place in taken:
            index.file(server, *place)
        if picked is None and taken:
            picked = self._lowest(None, request, zone, left, own, idle)
        return picked

    def _among(self, few: list[Server] | None, request: RequestState) -> list[Server]:
        """Those of some servers, or of all, in the cell of a request's first attempt. A cell is small."""
        first = request.first()
        members = self.cells.get((first.zone, first.cell))
        if members is None:
            return []
        if few is not None:
            return [server for server in few if server in members]
        index = self.usable()
        return [server for server in members.items if server in index.places]

    def _lowest(
        self, few: list[Server] | None, request: RequestState, zone: str, left: float, own: float, idle: bool
    ) -> Server | None:
        """The lowest of a few servers that are filed, or of all that are usable.

        The paper's servers are alike. Where one needs far longer for each request (slow machine,
        neighbour, cold start) or loses some, its row counts that much more, in steps of root two, so that
        like servers still tie.
        """
        at, mix = self.kinds[request.kind.name], self.learned.mix
        floor, shift, guess = round(self.level), self.shift(), self.shared and self.old()
        lowest, total = math.inf, 0
        ties: list[list[Server]] = []
        alone: list[Server] = []  # of a few: those that tie

        def bounds(key: Profile) -> tuple[float, float]:
            """The most load and the weight at which a server of this kind is fit; no load where it is not."""
            most, pace, figures, warm, _, where = key
            step = figures[at]
            if step is None or (zone and where != zone):
                return -math.inf, 1.0
            if warm < WARM and request.work > self.warming.most_work(warm):
                return -math.inf, 1.0
            power = PACE[pace]
            if idle:
                return (-math.inf if own * power > left else math.inf if guess else most - shift), POWER[step]
            return min(most, (left / power - own) / mix) - shift, POWER[step]

        if few is not None:
            for server in few:
                key, load, row = self.place_of(server)
                most, weight = bounds(key)
                figure = (max(row, floor) + 1) * weight if key[4] else (row + 1) * weight
                if load <= most and figure <= lowest:
                    if figure < lowest:
                        lowest, alone = figure, []
                    alone.append(server)
            return alone[int(self.random.random() * len(alone))] if alone else None
        for key, levels in self.usable().buckets.items():
            most, weight = bounds(key)
            aged = key[4]
            for load, level in levels.items():
                if load > most:
                    continue
                row = level.lowest()
                figure = (max(row, floor) + 1) * weight if aged else (row + 1) * weight
                if figure > lowest:
                    continue
                if figure < lowest:
                    lowest, ties, total = figure, [], 0
                for group in _tied(level, max(row, floor)) if aged else (level.rows[row],):
                    ties.append(group.items)
                    total += len(group.items)
        if not total:
            return None
        if total == 1:
            return ties[0][0]
        drawn = int(self.random.random() * total)
        for items in ties:
            if drawn < len(items):
                return items[drawn]
            drawn -= len(items)
        raise AssertionError("a draw beyond the ties")


def _tied(level: Level[Server], row: int) -> list[Choice[Server]]:
    """The groups up to a row, which count as equal: rows of few servers and many nodes."""
    return [group for at, group in level.rows.items() if at <= row]
