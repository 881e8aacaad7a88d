"""The platform's build line, tried with a stand-in for python3 that makes and fills environments."""

from __future__ import annotations

import os
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
STAND_IN = """#!/bin/sh
# python3 -m venv DIR
echo made >> log
mkdir -p "$3/bin"
printf '#!/bin/sh\\n test ! -e broken && echo installed >> log\\n' > "$3/bin/pip"
chmod +x "$3/bin/pip"
"""


def build(folder: Path) -> tuple[int, str]:
    """Run the build line there; its status, and what it had the stand-in do since the last call."""
    (folder / "log").write_text("")
    line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["build"]
    path = f"{folder / 'tools'}:{os.environ['PATH']}"
    ended = subprocess.run(["sh", "-c", line], cwd=folder, env={**os.environ, "PATH": path}, timeout=30, check=False)
    return ended.returncode, (folder / "log").read_text()


@pytest.fixture
def tree(tmp_path: Path) -> Path:
    (tmp_path / "tools").mkdir()
    python = tmp_path / "tools/python3"
    python.write_text(STAND_IN)
    python.chmod(0o755)
    (tmp_path / "requirements.txt").write_text("uvloop==1\n")
    return tmp_path


def test_a_whole_environment_is_kept_and_one_for_other_requirements_made_anew(tree: Path) -> None:
    assert build(tree) == (0, "made\ninstalled\n")
    assert build(tree) == (0, "")
    (tree / "requirements.txt").write_text("uvloop==2\n")
    (tree / ".venv/left").write_text("over")
    assert build(tree) == (0, "made\ninstalled\n")
    assert not (tree / ".venv/left").exists()


def test_an_environment_left_half_made_is_made_anew(tree: Path) -> None:
    (tree / "broken").touch()
    status, said = build(tree)
    assert status != 0 and said == "made\n"
    (tree / "broken").unlink()
    assert build(tree) == (0, "made\ninstalled\n")
