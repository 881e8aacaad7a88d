"""Three members under every schedule of faults: what is held to be true at each turn, and at the end."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cloverhold.fleet.membership.core import Member
from cloverhold.fleet.membership.interface import Phase
from cloverhold.simulation.members import Fleet
from tests.explore import Play

ROUND_MS = 2000.0  # longer than a member is silent before it is called dead
ONE_VIEW_MS = 15_000.0
FIRST = ("nothing", "kill 2", "leave 2", "kill 2 and again")
FAULTS = (
    "nothing", "cut 01", "cut 10", "cut 02", "cut 20", "cut 12", "cut 21", "unheard 0", "unheard 1", "unheard 2",
    "deaf 0", "deaf 1", "deaf 2", "stop 0", "stop 1", "stop 2", "old words",
)  # fmt: skip
SHORT = ("nothing", "cut 01", "cut 20", "unheard 0", "deaf 2", "stop 1", "old words")


class World:
    """Three members that know one another."""

    def __init__(self, make: Callable[..., Member]) -> None:
        self.fleet = f = Fleet(3, 1, wire=False, make=make)
        f.start(range(3), 50)
        f.run(100)
        f.until(f.agreed, 5000)
        self.gone: set[int] = set()
        self.left_at: float | None = None
        self.touched: set[int] = set()
        self.stopped: dict[int, float] = {}
        self.incarnations = {n: 0 for n in range(3)}
        self.seen = 0


def _do(world: World, fault: str) -> None:
    f, word = world.fleet, fault.split(" ")
    f.network.cut = lambda sender, to, now: False
    f.network.late, f.network.twice = 0.0, 0.0
    match word[0]:
        case "cut":
            pair = int(word[1][0]), int(word[1][1])
            f.network.cut = lambda sender, to, now: (sender, to) == pair
            world.touched |= set(pair)
        case "unheard" | "deaf":
            number, unheard = int(word[1]), word[0] == "unheard"
            f.network.cut = lambda sender, to, now: (sender if unheard else to) == number
            world.touched |= {0, 1, 2}
        case "stop":
            number = int(word[1])
            if number not in world.gone:
                f.stop(number, ROUND_MS)
                world.stopped[number] = f.now()
            world.touched.add(number)
        case "old":
            f.network.late, f.network.late_ms, f.network.twice = 0.5, 1500.0, 1.0
        case "kill":
            f.kill([2])
            world.gone.add(2)
            world.touched.add(2)
            if word[-1] == "again":
                f.start([2], 400)
                world.gone.discard(2)
        case "leave":
            f.leave(2)
            world.gone.add(2)
            world.touched.add(2)
            world.left_at = f.now()


def _wrong(world: World) -> Iterator[str]:
    f = world.fleet
    for number in set(f.up()):
        process = f.running[number]
        now, member = f.now(), process.member
        if process.stopped and now - world.stopped[number] > 1100 and f.view(number) is not None:
            yield f"{number} sleeps and shows a view"
        if member.claim.incarnation < world.incarnations[number] and not number == 2:
            yield f"{number} went back to an earlier incarnation"
        world.incarnations[number] = member.claim.incarnation
        if member.phase is Phase.REPLACED:
            yield f"{number} yields to nobody"
    for note in f.notes[world.seen :]:
        number = note.change.number
        if note.change.state == "dead" and not {note.of, number} & world.touched:
            yield f"{note.of} calls {number} dead, and neither was touched"
        if world.left_at is not None and number == 2 and note.change.state == "alive" and note.at > world.left_at + 100:
            yield f"{note.of} brings back one that left"
    world.seen = len(f.notes)


def _step(world: World, fault: str) -> Iterator[str]:
    _do(world, fault)
    begun = world.fleet.now()
    while world.fleet.now() < begun + (ROUND_MS if fault not in FIRST else 100):
        world.fleet.run(25)
        yield from _wrong(world)


def _end(world: World) -> Iterator[str]:
    f = world.fleet
    _do(world, "nothing")
    f.run(25)
    begun = f.now()
    while not f.agreed():
        if f.now() - begun > ONE_VIEW_MS:
            yield f"no one view: {[(n, f.phase(n).value, f.view(n)) for n in f.up()]}"
            return
        f.run(25)
        yield from _wrong(world)


def _state(world: World) -> tuple[object, ...]:
    f = world.fleet
    return tuple(
        (n, m.phase, tuple((e.number, e.state) for e in m.standings(f.now())), m.own.called_dead(3), m.doubts)
        for n in f.up() for m in (f.running[n].member,)
    )  # fmt: skip


def three(make: Callable[..., Member] = Member) -> Play[World]:
    return Play(lambda: World(make), _step, _end, _state)
