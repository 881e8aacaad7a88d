"""Lists of discovery that are not complete, beside other faults that keep news from an agent."""

from __future__ import annotations

import pytest

from cloverhold.rehearsal.catalog import Agent, Entry
from cloverhold.rehearsal.faults import DiscoveryIncomplete
from cloverhold.rehearsal.incomplete_lists import IncompleteList
from cloverhold.rehearsal.ledger import Told

ACTIVE, LEAVING = Entry("s0", "active", "media", 0), Entry("s0", "leaving", "media", 0)
ENDS_S = 5.0


def faulty(how: str, told: list[Told]) -> tuple[Agent, IncompleteList]:
    agent = Agent(0, told.append)
    agent.put(0.0, ACTIVE)
    fault = DiscoveryIncomplete(kind="discovery_incomplete", how=how, nodes=(0,), at_s=1.0, for_s=4.0)  # type: ignore[arg-type]
    return agent, IncompleteList(fault, agent)


@pytest.mark.parametrize("how", ["names_nobody", "bare_lines", "changes_left_out", "lost_store"])
def test_news_that_another_fault_keeps_from_an_agent_do_not_come_as_incomplete_lists_end(how: str) -> None:
    told: list[Told] = []
    agent, incomplete = faulty(how, told)
    incomplete.begin(1.0)
    agent.hold()
    agent.put(2.0, LEAVING)
    before = len(told)
    incomplete.end(ENDS_S, is_held_on=True)
    assert len(told) == before
    agent.release(6.0)
    assert (told[-1].state, told[-1].due_s) == ("leaving", 6.0)


@pytest.mark.parametrize("how", ["names_nobody", "bare_lines", "changes_left_out", "lost_store"])
def test_news_come_as_incomplete_lists_end_where_nothing_else_keeps_them(how: str) -> None:
    told: list[Told] = []
    agent, incomplete = faulty(how, told)
    incomplete.begin(1.0)
    agent.put(2.0, LEAVING)
    incomplete.end(ENDS_S, is_held_on=False)
    assert (told[-1].state, told[-1].due_s) == ("leaving", 2.0 if how == "bare_lines" else ENDS_S)


def test_servers_are_named_again_behind_an_empty_list_that_began_while_news_were_kept_from_the_agent() -> None:
    told: list[Told] = []
    agent, incomplete = faulty("names_nobody", told)
    agent.hold()
    incomplete.begin(1.0)
    incomplete.end(ENDS_S, is_held_on=True)
    agent.release(6.0)
    assert agent.whole()[1] == [ACTIVE]
