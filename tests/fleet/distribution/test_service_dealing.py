"""Who serves which service: bounds, spread, movement, whatever the fleet; and hand-overs in every order."""

from __future__ import annotations

from collections import Counter
from math import ceil

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverhold.fleet.distribution.dealing import (
    Bounds, Dealing, Place, Service, copies_of, deal, jump, loads, moved,
)  # fmt: skip

EVEN = 3100 / 6600


def fleet(nodes: int, zones: int = 12, skewed: bool = False) -> tuple[list[Service], list[Place]]:
    services = [Service(f"service-{n}", 1 / (n + 1) if skewed else 1.0) for n in range(round(nodes * EVEN))]
    return services, [Place(n, f"z{n % zones}") for n in range(nodes)]


@st.composite
def fleets(draw: st.DrawFn) -> tuple[list[Service], list[Place]]:
    numbers = draw(st.lists(st.integers(0, 300), min_size=1, max_size=40, unique=True))
    zones = draw(st.integers(1, 5))
    weights = draw(st.sampled_from([(1.0,), (0.5, 1.0, 2.0)]))
    places = [Place(n, f"z{draw(st.integers(0, zones))}", draw(st.sampled_from(weights))) for n in numbers]
    loads_ = draw(st.lists(st.sampled_from([0.0, 0.1, 1.0, 1.0, 30.0]), min_size=1, max_size=25))
    return [Service(f"s{n}", load) for n, load in enumerate(loads_)], places


def well_dealt(dealing: Dealing, services: list[Service], places: list[Place], bounds: Bounds) -> None:
    """Each service at as many different living nodes as it needs."""
    living = {place.number for place in places}
    mean = sum(s.load for s in services) / sum(p.weight for p in places)
    assert dealing.keys() == {service.name for service in services}
    for service in services:
        numbers = dealing[service.name]
        assert len(set(numbers)) == len(numbers) and set(numbers) <= living
        assert len(numbers) >= copies_of(service, mean, len(places), bounds)


@settings(max_examples=150, deadline=None)
@given(fleets(), fleets(), st.randoms(use_true_random=False))
def test_any_fleet_is_dealt_whole_the_same_in_any_order_and_comes_to_rest(
    one: tuple[list[Service], list[Place]], other: tuple[list[Service], list[Place]], chance: object
) -> None:
    bounds = Bounds()
    services, places = one
    dealing = deal(services, places)
    well_dealt(dealing, services, places, bounds)
    shuffled = services.copy(), places.copy()
    for words in shuffled:
        chance.shuffle(words)  # type: ignore[attr-defined]
    assert deal(*shuffled) == dealing
    services, places = other  # another fleet under the same names: what was dealt before may fit nothing
    for _ in range(4):
        following = deal(services, places, dealing)
        well_dealt(following, services, places, bounds)
        rest, dealing = moved(dealing, following), following
    assert rest == 0


@pytest.mark.parametrize("skewed", [False, True])
@pytest.mark.parametrize("nodes", [100, 700])
def test_loads_lie_within_the_bounds_and_no_zone_has_more_than_its_part(nodes: int, skewed: bool) -> None:
    services, places = fleet(nodes, skewed=skewed)
    dealing = deal(services, places)
    borne = loads(dealing, services, places)
    mean = sum(borne.values()) / nodes
    assert 0.75 * mean <= min(borne.values()) and max(borne.values()) <= 1.25 * mean + 1e-9
    for numbers in dealing.values():
        assert max(Counter(n % 12 for n in numbers).values()) <= ceil(len(numbers) / 12)


def test_a_death_moves_what_the_dead_one_held_and_its_return_no_more_than_that() -> None:
    for skewed in (False, True):
        services, places = fleet(700, skewed=skewed)
        dealing = deal(services, places)
        for gone in range(0, 700, 100):
            held = sum(gone in numbers for numbers in dealing.values())
            without = deal(services, [p for p in places if p.number != gone], dealing)
            assert moved(dealing, without) == held
            again = deal(services, places, without)
            assert 1 <= moved(without, again) <= held + 2


def test_a_zone_that_dies_is_shared_by_the_others_and_nothing_else_moves() -> None:
    services, places = fleet(700)
    dealing = deal(services, places)
    living = [p for p in places if p.zone != "z3"]
    after = deal(services, living, dealing)
    assert moved(dealing, after) == sum(n % 12 == 3 for numbers in dealing.values() for n in numbers)
    borne = loads(after, services, living)
    assert max(borne.values()) <= 1.25 * sum(borne.values()) / len(living) + 1e-9
    assert all(max(Counter(n % 12 for n in numbers).values()) <= 1 for numbers in after.values())


def test_a_heavy_service_gets_more_copies_and_a_heavy_node_more_load() -> None:
    services = [Service("heavy", 50.0), *(Service(f"s{n}", 1.0) for n in range(50))]
    places = [Place(n, f"z{n % 4}", 2.0 if n < 20 else 1.0) for n in range(80)]
    dealing = deal(services, places)
    assert len(dealing["heavy"]) > 5 * len(dealing["s1"]) >= 50
    borne = loads(dealing, services, places)
    heavy = sum(2 * borne[n] for n in range(20)) / 20
    light = sum(borne[n] for n in range(20, 80)) / 60
    assert 1.5 < heavy / light < 2.5


def test_loads_that_drift_a_little_move_nothing() -> None:
    services, places = fleet(200)
    dealing = deal(services, places)
    drifted = [Service(s.name, s.load * (1 + 0.04 * (n % 3 - 1))) for n, s in enumerate(services)]
    assert moved(dealing, deal(drifted, places, dealing)) == 0


def test_odd_fleets() -> None:
    services, places = fleet(30)
    assert deal(services, []) == {s.name: () for s in services}
    assert deal([], places) == {}
    assert set(deal(services, places[:3])[services[0].name]) == {0, 1, 2}
    one_far = [Place(n, "near") for n in range(20)] + [Place(20, "far")]  # a zone with one node cannot hold half
    assert len(deal(services, one_far)["service-1"]) == 10
    assert deal(services, places, {"gone": (1, 2), "service-1": (99, 99)})["service-1"]
    with pytest.raises(ValueError, match="places: a number"):
        deal(services, [Place(1), Place(1)])
    with pytest.raises(ValueError, match="services: a name"):
        deal([Service("a"), Service("a")], places)
    for field, value in (("copies", 0), ("share", 0.0), ("slack", 1.0)):
        with pytest.raises(ValueError, match=f"{field}: "):
            Bounds(**{field: value})


def test_one_bucket_more_moves_keys_into_it_alone() -> None:
    keys = [n * 0x9E3779B97F4A7C15 & (1 << 64) - 1 for n in range(20_000)]
    for buckets in (1, 10, 99):
        before, after = [jump(key, buckets) for key in keys], [jump(key, buckets + 1) for key in keys]
        changed = [b for a, b in zip(before, after, strict=True) if a != b]
        assert set(changed) <= {buckets}
        assert len(changed) == pytest.approx(20_000 / (buckets + 1), rel=0.35)
