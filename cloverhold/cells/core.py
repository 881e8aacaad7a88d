"""Cells put together: what comes in becomes evidence, moves and wards; out come a cell for each request, and actions.

Pure: times are handed in, in ms of one clock that only advances. The host calls `route` for each request, `sent` and
`ended` for each attempt, `left` when a request has had its answer, `members` with each list, `tick` every `TICK_MS`,
and carries out what `take` returns after each of these.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from cloverhold.cells.draw import Member, digest
from cloverhold.cells.moves import ENDS, Move, Order, Place, Stage, Word
from cloverhold.cells.poison import FAILED, Poison
from cloverhold.cells.rules import Action, By, Down, Keep, Note, Rules, Warm
from cloverhold.cells.tenancy import Cell, Tenancies, Tenancy
from cloverhold.cells.ward import Step, Ward
from cloverhold.decision.interface import Refuse, Status
from cloverhold.decision.pools import Pool

TICK_MS = 100.0
NAME_MOST = 128  # characters of a key; a longer one counts by its digest
TRIAL = 10  # of a key whose cell is down, one request in so many goes there all the same: to see whether it is back
ON_PROBATION = 0.5  # power of the rate of false alarms that is enough for one that was a ward


class Cells:
    """All keys, their cells and their moves at one node.

    serves: whether a ready server of a pool looks well, by the module's own evidence.
    """

    def __init__(self, rules: Rules, serves: Callable[[Pool], bool]) -> None:
        self.rules, self.serves = rules, serves
        self.tenancies = Tenancies(rules)
        self.poison = Poison(rules.false_alarms, rules.nodes)
        self.moves: dict[str, Move] = {}  # by id, in order of their beginning
        self.queue: dict[str, Order] = {}  # orders that wait for their turn
        self.wards: dict[Tenancy, None] = {}
        self.ready: dict[str, Member] = {}
        self.absent: dict[str, tuple[float, Member]] = {}  # until when those keep their place that were ready
        self.allowed, self.allowed_at = 1.0, 0.0  # moves that may begin now
        self.out: list[Action] = []

    def take(self) -> list[Action]:
        """What is to be done now; each action is handed out once."""
        out, self.out = self.out, []
        return out

    def _note(self, name: str, **fields: Any) -> None:
        self.out.append(Note(name, fields))

    # ---------------------------------------------------------------- requests

    def key(self, tenant: str | None, sid: int | None, kind: str) -> str:
        """What a request's cell goes by; empty where it does not say: such requests share a cell."""
        name = tenant or ""
        if len(name) > NAME_MOST:  # names are what clients send
            name = digest(name)
        match self.rules.by:
            case By.TENANT:
                return name
            case By.SID:
                return "" if sid is None else f"{sid:x}"
            case By.CLASS:
                return kind
            case By.TENANT_CLASS:
                return f"{name}/{kind}"

    def route(self, key: str, now: float) -> Cell | Refuse:
        """Where a new request of a key may go; a cell counts it as open until `left`. Or a refusal, which has no id:
        the request is not taken in, so it never ran.
        """
        tenancy = self.tenancies.get(key, now)
        cell = self._choose(tenancy, now)
        if isinstance(cell, Refuse):
            return cell
        if not any(name in self.ready for name in cell.servers):
            return Refuse(0)  # nobody can tell when there will be a server
        cell.open += 1
        return cell

    def _choose(self, tenancy: Tenancy, now: float) -> Cell | Refuse:
        ward, tenancies = tenancy.ward, self.tenancies
        if ward is not None:
            if ward.confined() and (wait := ward.admits(now)):
                return Refuse(0, wait)
            if ward.confined():
                return tenancies.shared(tenancy, "quarantine", self.rules.quarantine, now)
        if self._new(tenancy):
            return tenancies.shared(tenancy, "newcomers", self.rules.newcomers, now)
        move = tenancy.move
        cell = tenancies.cell(tenancy, move.place() if move is not None else tenancy.place, now)
        if self.rules.down is Down.SPILL and self._spills(tenancy, cell, now):
            return tenancies.cell(tenancy, Place(draw=cell.place.draw + 1), now)
        return cell

    def _new(self, tenancy: Tenancy) -> bool:
        rules = self.rules
        if not rules.newcomers or tenancy.answers >= rules.newcomer_answers or rules.by is By.CLASS:
            return False
        name = tenancy.key.rpartition("/")[0] if rules.by is By.TENANT_CLASS else tenancy.key
        return name not in rules.known and tenancy.move is None and tenancy.key not in self.tenancies.places

    def _spills(self, tenancy: Tenancy, cell: Cell, now: float) -> bool:
        """Whether a request goes to the key's second draw: only while its cell is down, only so many, none of a
        suspect. Guards against a poison that would walk through the fleet.
        """
        if cell.place.cell or self.serves(cell.pool) or tenancy.doubtful(self.rules.false_alarms):
            return False
        tenancy.trials += 1
        if tenancy.trials % TRIAL == 0:
            return False
        return tenancy.spills.take(self.rules.spill_per_s / 1000, now)

    def sent(self, ref: int, cell: Cell, server: str, now: float) -> None:
        """An attempt of a request goes to a server."""
        if self.rules.poison:
            self.poison.sent(ref, cell.tenancy, server, now)

    def ended(self, ref: int, cell: Cell, kind: str, server: str, status: Status, spent: float, now: float) -> None:
        """An attempt has ended."""
        tenancy = cell.tenancy
        if status is Status.OK:
            tenancy.answers += 1
        if self.rules.poison:
            failed = self.poison.ended(ref, cell, kind, server, status, spent, now)
            if failed and tenancy.ward is not None and tenancy.ward.confined():
                tenancy.ward.harm(now)
            self._judge(now)
        else:
            failed = status in FAILED
            tenancy.count.tell(now, failed=failed)
        move = tenancy.move
        if move is not None and (failed or status is Status.OK) and cell.place == move.new:
            if move.seen(server, failed=failed, rate=self.rules.false_alarms):
                self._tell(move, Word.WORSE, now)

    def left(self, cell: Cell) -> None:
        """A request that `route` let in has had its answer."""
        cell.open -= 1

    # ---------------------------------------------------------------- poison

    def _judge(self, now: float) -> None:
        """Look at those that something was said of since the last time: never at all suspects."""
        touched, self.poison.touched = self.poison.touched, {}
        for suspect in touched:
            ward = suspect.ward
            if ward is not None and ward.confined():
                continue
            rate = self.poison.rate**ON_PROBATION if ward is not None else None
            if why := self.poison.guilty(suspect, rate):
                self._confine(suspect, why, now)

    def _confine(self, tenancy: Tenancy, why: str, now: float) -> None:
        if tenancy.move is not None and self._tell(tenancy.move, Word.WORSE, now):
            self.poison.clear(tenancy)  # the new place may be what ails it: that is turned back first
            return
        if tenancy.ward is None:
            tenancy.ward = Ward(self.rules.terms, now)
            self.wards[tenancy] = None
        else:
            tenancy.ward.harm(now)
        self._note("cells.quarantined", key=tenancy.key, evidence=why, falls=tenancy.ward.falls)
        self.poison.clear(tenancy)

    def _rest(self, now: float) -> None:
        for tenancy in list(self.wards):
            ward = tenancy.ward
            assert ward is not None
            if not ward.rest(now):
                continue
            self._note("cells.let_out", key=tenancy.key, step=ward.step.value)
            self.poison.clear(tenancy)
            if ward.step is Step.FREE:
                tenancy.ward = None
                del self.wards[tenancy]

    # ---------------------------------------------------------------- the list

    def members(self, members: Mapping[str, Member], now: float) -> None:
        """The servers that are ready, from now on."""
        for name, old in self.ready.items():
            if self.rules.poison and (name not in members or members[name].warm_from > old.warm_from):
                self.poison.gone(name, now)
            if name not in members:
                self.absent[name] = now + self.rules.linger_ms, old.absent()
        self.ready = dict(members)
        self._settle(now)
        self._judge(now)

    def _settle(self, now: float) -> None:
        """Draw from the servers that are ready, and from those that were a while ago.

        Guards against a poison that walks through the fleet: were a server that it killed replaced in its cell at
        once, it would kill that one next. A cell does with fewer for a while; its floor takes in few, and none for a
        key that something speaks against.
        """
        self.absent = {name: (until, member) for name, (until, member) in self.absent.items()
                       if until > now and name not in self.ready}  # fmt: skip
        members = {**{name: member for name, (_, member) in self.absent.items()}, **self.ready}
        if self.tenancies.roster.change(members):
            self.poison.keep(members)
            self._note("cells.roster", ready=len(self.ready), absent=len(self.absent))

    # ---------------------------------------------------------------- moves

    def orders(self, orders: Sequence[Order], now: float) -> None:
        """The moves that the operator asks for, all of them each time; those known by their id are not begun twice."""
        for order in orders:
            move = self.moves.get(order.id)
            if order.undo:
                self._undo(order, move, now)
            elif move is None:
                self.queue[order.id] = order
        # What is over is remembered while it is asked for, or is the last word on its key.
        named, last = {order.id for order in orders}, {move.key: move.id for move in self.moves.values()}
        for move in [m for m in self.moves.values() if m.over() and m.id.removesuffix("/undo") not in named]:
            if last[move.key] != move.id:
                del self.moves[move.id]
        self._begin(now)

    def _undo(self, order: Order, move: Move | None, now: float) -> None:
        self.queue.pop(order.id, None)
        if move is None or move.stage is Stage.UNDONE:
            return
        if not self._tell(move, Word.UNDO, now) and move.stage is Stage.DONE:
            back = f"{order.id}/undo"  # done for good: what turns it back is a move of its own
            if back not in self.moves:
                self.queue[back] = Order(back, move.key, move.old)

    def _begin(self, now: float) -> None:
        """Begin the orders whose turn it is; a later one for a key turns back the one that is under way."""
        rules = self.rules
        rate = rules.moves_a_minute / 60_000
        self.allowed = min(max(1.0, rules.moves_at_once), self.allowed + rate * (now - self.allowed_at))
        self.allowed_at = now
        under_way = sum(not move.over() for move in self.moves.values())
        for order in list(self.queue.values()):
            tenancy = self.tenancies.get(order.key, now)
            if tenancy.move is not None:
                self._tell(tenancy.move, Word.UNDO, now)
                if tenancy.move is not None:
                    continue  # until its requests in the cell left have ended
            if under_way >= rules.moves_at_once or self.allowed < 1:
                return
            del self.queue[order.id]
            if order.to.cell and order.to.cell not in rules.fixed:
                self._note("cells.order_refused", id=order.id, key=order.key, why=f"no cell {order.to.cell!r}")
                continue
            self.allowed -= 1
            under_way += 1
            self._start(Move(order.id, order.key, tenancy.place, order.to, now), tenancy, now)

    def _start(self, move: Move, tenancy: Tenancy, now: float) -> None:
        seen, failed = tenancy.count.lately(now)
        move.baseline = failed / (seen + 1)
        tenancy.move = self.moves[move.id] = move
        self.tenancies.known.setdefault(tenancy.key, tenancy)  # a key under way is not forgotten
        new = self.tenancies.cell(tenancy, move.new, now)
        held = set(self.tenancies.cell(tenancy, move.old, now).servers)
        self.out.append(Warm(tuple(name for name in new.servers if name not in held)))
        self._told(move)

    def _tell(self, move: Move, word: Word, now: float) -> bool:
        if not move.tell(word, now):
            return False
        tenancy = self.tenancies.get(move.key, now)
        if move.over():
            tenancy.move = None
            tenancy.place = self.tenancies.places[move.key] = move.place()
            self._forget_cells(tenancy)
        self._told(move)
        return True

    def _told(self, move: Move) -> None:
        self._note("cells.move", **move.record())
        self.out.append(Keep(tuple(other.record() for other in self.moves.values())))

    def _forget_cells(self, tenancy: Tenancy) -> None:
        """What is left of cells that a key is no longer in. Open requests hold theirs themselves."""
        for name, cell in list(tenancy.cells.items()):
            if cell.place != tenancy.place and not cell.open:
                del tenancy.cells[name]

    def tick(self, now: float) -> None:
        """What time alone brings."""
        for move in [m for m in self.moves.values() if m.stage not in ENDS]:
            self._advance(move, now)
        if self.queue:
            self._begin(now)
        if self.wards:
            self._rest(now)
        if self.absent and min(until for until, _ in self.absent.values()) <= now:
            self._settle(now)

    def _advance(self, move: Move, now: float) -> None:
        tenancies, rules = self.tenancies, self.rules
        tenancy = tenancies.get(move.key, now)
        old, new = (tenancies.cell(tenancy, place, now) for place in (move.old, move.new))
        waited = now - move.began_at
        match move.stage:
            case Stage.PREPARING:
                need = rules.floor * min(new.size or len(new.servers), len(tenancies.roster.members))
                if new.servers and self.serves(new.pool) and tenancies.capacity(new, now) >= need:
                    self._tell(move, Word.READY, now)
                elif waited > rules.prepare_ms:
                    self._tell(move, Word.LATE, now)
            case Stage.DRAINING if not old.open:
                self._tell(move, Word.EMPTY, now)
            case Stage.BACK if not new.open:
                self._tell(move, Word.EMPTY, now)
            case Stage.WATCHED if waited > rules.watch_ms:
                self._tell(move, Word.PROVEN, now)
            case _:
                pass

    def resume(self, records: Iterable[Mapping[str, Any]], now: float) -> None:
        """Moves as they were kept before a restart, in order. Raises ValueError where a record is none."""
        for record in records:
            move = Move.resumed(record, now)
            self.moves[move.id] = move
            if move.over():
                self.tenancies.places[move.key] = move.place()
                continue
            tenancy = self.tenancies.get(move.key, now)
            tenancy.place, tenancy.move = move.old, move
            self.tenancies.known.setdefault(move.key, tenancy)

    def status(self, now: float) -> dict[str, Any]:
        """What an operator asks for, in plain values."""
        return {
            "keys": len(self.tenancies.known),
            "servers": len(self.tenancies.roster.members),
            "wards": [
                {"key": t.key, "step": t.ward.step.value, "falls": t.ward.falls} for t in self.wards if t.ward
            ],
            "suspects": [{"key": t.key, "presence": round(t.presence.sum, 2), "own": round(t.own.sum, 2)}
                         for t in list(self.poison.suspects)[:100]],
            "queued": list(self.queue),
            "moves": [move.record() for move in self.moves.values()],
            "loads": {t.key: round(t.occupancy.load, 4) for t in list(self.tenancies.known.values())[-1000:]},
        }  # fmt: skip
