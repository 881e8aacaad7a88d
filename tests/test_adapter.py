"""The adapter over batches written by hand, and the README's example."""

import io
import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from cloverhold.benchlink import Link, WireError, settings_from_wire

ROOT = Path(__file__).parent.parent
INFO: dict[str, Any] = {
    "GroupSize": 2,
    "Guarantees": {
        "AnswerSlackMs": 5.0,
        "ColdFrom": 0.3,
        "ColdMs": 9000.0,
        "DrainGraceMs": 500.0,
        "FallMs": 1500.0,
        "FallMultiple": 2.5,
    },
    "Limits": {
        "Cancelling": True,
        "MaxAttempts": 4,
        "ParallelTries": False,
        "Probes": True,
        "RetryAfter": True,
        "MaxRetryAfterMs": 2000.0,
        "MostHeld": 20000,
    },
    "Profiles": [
        {"Name": "get", "AimMs": 400.0, "DeadlineMs": 1000.0, "Repeat": "read_like", "Points": 1.0},
        {"Name": "put", "AimMs": 400.0, "DeadlineMs": 1000.0, "Repeat": "non_idempotent", "Points": 2.0},
    ],
    "RegistryMode": "subscribe",
    "ResolutionMs": 1.0,
    "Zone": "north",
    "SomethingNew": [1, 2],
}
BIG = 3014415770882500


def start(who: int = 0, seed: int = 7, **changes: Any) -> str:
    return f"START {who} {seed} {json.dumps({**INFO, **changes})}"


def lines_of(count: int, start: int = 0) -> str:
    return "\n".join(f"ITEM 10.0.0.{i}:80 north kind {i % 2} healthy 1 -" for i in range(start, start + count))


def batch(now: float, *lines: str) -> str:
    return "\n".join([f"BEGIN_BATCH {now}", *lines, "GO\n"])


def talk(*batches: str) -> list[list[str]]:
    sink = io.StringIO()
    Link(io.BytesIO("".join(batches).encode()), sink).run()
    replies = sink.getvalue().split("ACK\n")
    assert replies.pop() == ""
    return [reply.splitlines() for reply in replies]


def test_empty_batch() -> None:
    assert talk(batch(1.5)) == [[]]


def test_start_subscribe_send_and_answer() -> None:
    replies = talk(
        batch(100, start(), f"DIRECTORY 0 2\n{lines_of(2)}", "REGISTRY 0 disk 41 0"),
        batch(101, f"WORK_ITEM 0 {BIG} get - - 800.0 - 0"),
        batch(102, *(f"ECHO 0 10.0.0.{i}:80 0 0.5 active:0,waiting:0" for i in range(2))),
        batch(150, f"REPLY 0 {BIG} 0 10.0.0.0:80 0 49.0 1 -", f"LEFT 0 {BIG}"),
        batch(151, "ECHO 0 10.0.0.0:80 0 1.0 active:3,waiting:1,novel:7", "RING 0 999999", "MEMO 0 1 6869"),
    )
    assert replies[0] == ["STREAM_CHANGES 0 1"]
    sent = [line for line in replies[2] if line.startswith("SUBMIT_TO")]
    assert len(sent) == 1 and re.fullmatch(rf"SUBMIT_TO 0 {BIG} - 10\.0\.0\.[01]:80", sent[0])
    assert any(line.startswith("PROBE 0 10.0.0.") for line in replies[1])
    assert not any("BUG" in line for reply in replies for line in reply)


def test_list_number_overwritten_within_a_batch() -> None:
    replies = talk(
        batch(
            100,
            start(0),
            start(1),
            f"DIRECTORY 0 1\n{lines_of(1)}",
            "REGISTRY 0 disk 1 0",
            f"DIRECTORY 0 1\n{lines_of(1, 5)}",
            "REGISTRY 1 disk 1 0",
        ),
        batch(101, "WORK_ITEM 0 1 get - - 800.0 - 0", "WORK_ITEM 1 2 get - - 800.0 - 0"),
        batch(102, "ECHO 0 10.0.0.0:80 0 0.5 active:0", "ECHO 1 10.0.0.5:80 0 0.5 active:0"),
    )
    sent = [line for line in replies[2] if line.startswith("SUBMIT_TO")]
    assert sent == ["SUBMIT_TO 0 1 - 10.0.0.0:80", "SUBMIT_TO 1 2 - 10.0.0.5:80"]


def test_destroy_and_start_in_one_batch_begins_anew() -> None:
    replies = talk(
        batch(
            100,
            start(),
            f"DIRECTORY 0 1\n{lines_of(1)}",
            "REGISTRY 0 disk 1 0",
            "WORK_ITEM 0 1 put - - 800.0 - 0",
        ),
        batch(
            200,
            "DESTROY 0",
            start(0, 8),
            "DIRECTORY 0 0",
            "REGISTRY 0 disk 1 0",
            "WORK_ITEM 0 2 put - - 9.0 - 0",
        ),
        batch(300, "RING 0 1"),
    )
    assert not any("SUBMIT_TO" in line for line in replies[1])
    assert "BOUNCE 0 2 2000.000" in replies[2]


def test_list_error_has_no_list() -> None:
    replies = talk(batch(100, start(), "REGISTRY 0 error 1 -"))
    assert any(line.startswith("SET_ALARM 0") for line in replies[0])


def test_every_outcome_is_taken() -> None:
    for code in (0, 5, 11, 110, 111, 104, 125, 114):
        talk(
            batch(100, start(), f"DIRECTORY 0 1\n{lines_of(1)}", "REGISTRY 0 disk 1 0"),
            batch(101, "WORK_ITEM 0 1 put t 5 800.0 12.5 7"),
            batch(102, f"REPLY 0 1 0 10.0.0.0:80 {code} 1.0 0 -", f"ECHO 0 10.0.0.0:80 {code} 1.0 -"),
        )


def test_instances_share_nothing() -> None:
    script = [
        batch(100, "{start}", f"DIRECTORY 0 3\n{lines_of(3)}", "REGISTRY {who} disk 1 0"),
        *(batch(100 + n, f"WORK_ITEM {{who}} {n} get - - 800.0 - 0") for n in range(1, 30)),
    ]

    def lone(who: int) -> list[list[str]]:
        return talk(*(part.replace("{who}", str(who)).replace("{start}", start(who, 11)) for part in script))

    both = talk(
        *(
            part.replace("{start}", start(0, 11) + "\n" + start(1, 11)).replace(
                "REGISTRY {who} disk 1 0", "REGISTRY 0 disk 1 0\nREGISTRY 1 disk 1 0"
            )
            if "{start}" in part
            else part.replace("{who}", "0")[:-3] + part.replace("{who}", "1").split("\n", 1)[1]
            for part in script
        )
    )
    for who in (0, 1):
        assert [[x for x in reply if x.split()[1] == str(who)] for reply in both] == lone(who)


@pytest.mark.parametrize(
    "line",
    [
        "HELLO 1",
        "WORK_ITEM 0 1 get",
        "WORK_ITEM 9 1 get - - 800.0 - 0",
        "REPLY 0 1 0 s 77 1.0 1 -",
        "REGISTRY 0 disk 1 7",
        "REGISTRY 0 novel 1 0",
        "WORK_ITEM 0 x get - - 800.0 - 0",
        "START 3 1 {",
        "ECHO 0 s 0 1.0 active",
        "DIRECTORY 0 1",
    ],
)
def test_malformed_line_is_named(line: str) -> None:
    text = batch(100, start(), line)
    done = subprocess.run(
        [sys.executable, "-m", "cloverhold.benchlink"],
        input=text,
        text=True,
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode != 0 and "Traceback" not in done.stderr
    assert done.stderr.startswith("benchlink: line ") and (line[:20] in done.stderr or "GO" in done.stderr)


@pytest.mark.parametrize("key", ["GroupSize", "Guarantees", "Limits", "Profiles", "RegistryMode", "ResolutionMs"])
def test_missing_setting_is_named(key: str) -> None:
    info = {k: v for k, v in INFO.items() if k != key}
    with pytest.raises(WireError, match=key):
        settings_from_wire(json.dumps(info))


def test_end_of_input_is_a_clean_exit() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "cloverhold.benchlink"],
        input=batch(1),
        text=True,
        capture_output=True,
        cwd=ROOT,
        check=True,
    )
    assert done.stdout == "ACK\n" and done.stderr == ""


def test_exception_in_the_module_becomes_the_fault_action(monkeypatch: pytest.MonkeyPatch) -> None:
    from cloverhold.decision import decide

    def broken(*_: object) -> None:
        raise RuntimeError("two\nlines")

    monkeypatch.setattr(decide.Balancer, "_request", broken)
    replies = talk(batch(100, start(), "WORK_ITEM 0 1 get - - 800.0 - 0"))
    assert replies == [["BUG 0 RuntimeError: two lines on WORK_ITEM"]]


def test_the_readme_example_runs() -> None:
    code = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(code) == 1
    done = subprocess.run([sys.executable, "-c", code[0]], capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stdout == "send request 1 to a listed server: True\n"
