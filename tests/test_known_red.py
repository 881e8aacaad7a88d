"""The file of known failures: only what it names is passed over, and it can't go stale unseen."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import Red, known, read

HERE = Path(__file__).parent
LISTED = "tests/test_two.py::{test} | pytest -k two, seed 3 | it counts twice | 45\n"
TESTS = "def test_red():\n    assert False\n\ndef test_other():\n    assert {other}\n"


def run(folder: Path, listed: str, *, other: bool = True) -> subprocess.CompletedProcess[str]:
    """A project of two tests, the first of which fails, with the checks' own conftest."""
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder / "tests" / name)
    (folder / "tests" / "test_two.py").write_text(TESTS.format(other=other))
    (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)


def test_what_is_listed_is_passed_over_and_printed(tmp_path: Path) -> None:
    done = run(tmp_path, LISTED.format(test="test_red"))
    assert done.returncode == 0
    assert "KNOWN RED tests/test_two.py::test_red: it counts twice; pytest -k two, seed 3 (45)" in done.stdout


def test_what_is_not_listed_fails(tmp_path: Path) -> None:
    assert run(tmp_path, LISTED.format(test="test_red"), other=False).returncode == 1


def test_one_that_passes_by_now_is_said_so(tmp_path: Path) -> None:
    done = run(tmp_path, LISTED.format(test="test_other"))
    assert done.returncode == 1 and "test_other: passes now: take it out (45)" in done.stdout


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_two.py::test_red | pytest -k two, seed 3 | it counts twice",
        "tests/test_two.py | pytest -k two, seed 3 | it counts twice | 45",
        "tests/test_two.py::test_red | it counts twice | 45",
        "tests/test_two.py::test_red | pytest -k two, seed 3 | | 45",
        2 * LISTED.format(test="test_red"),
    ],
)
def test_a_file_that_is_not_whole_ends_the_run(text: str, tmp_path: Path) -> None:
    with pytest.raises(ValueError):
        read(text)
    assert run(tmp_path, text).returncode == 4


def test_the_projects_own_file_names_tests_that_there_are() -> None:
    for red in known():
        path, name = red.test.split("::", 1)
        assert f"def {name.split('[')[0]}(" in (HERE.parent / path).read_text(), red.test
    assert read("a.py::t | b | c | d\n\n") == [Red("a.py::t", "b", "c", "d")]
