"""Whether the build under test is the one that is meant: compiled where that was asked for, else the sources."""

import os
from importlib import import_module

import pytest


@pytest.mark.parametrize(
    "name", ["decide", "table", "index", "health", "learned", "admission", "waiting", "pools", "state"]
)
def test_the_module_is_of_the_build_that_was_asked_for(name: str) -> None:
    compiled = os.environ.get("CLOVERHOLD_COMPILE") == "1"
    assert str(import_module(f"cloverhold.decision.{name}").__file__).endswith(".so" if compiled else ".py")
