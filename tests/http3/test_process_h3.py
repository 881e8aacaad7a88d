"""HTTP/3 in the program itself: the operator's file, SIGTERM, SIGHUP, and nothing of it loaded where it is off."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from loopback import OK, WAIT_S, Server, free_ports, play, target, until
from peers import H3Client, certificate, head
from test_process import ROOT, SETTINGS, config, environment

CLASSES = [{"Name": "alerta", "AimMs": 4000.0, "DeadlineMs": 8000.0, "Repeat": "non_idempotent"}]


def test_a_node_without_http3_loads_nothing_of_it(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(config()))
    program = (
        "import sys, cloverhold.__main__ as m; from cloverhold.net.clock import Clock; m.read_config(Clock());"
        "print(sorted(n for n in sys.modules if n.startswith(('qh3', 'cloverhold.h3', 'cloverhold.net.fronts.http3',"
        " 'ssl', 'msgspec'))))"
    )
    env = {k: v for k, v in environment(tmp_path / "config.json").items() if k != "CLOVERHOLD_CONFIG"}
    done = subprocess.run([sys.executable, "-c", program], cwd=ROOT, env=env, capture_output=True, text=True,
                          check=True)  # fmt: skip
    assert set(json.loads(done.stdout.replace("'", '"'))) <= {"ssl"}  # asyncio itself loads that one


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("[http3]\n", "http3.certificate: is missing"),
        ("[http3]\ncertificate = 'none.pem'\nkey = 'none.key'\n", "none.pem"),
        ("[http3]\ncertificate = '{f}/node.pem'\nkey = '{f}/other.key'\n", "http3"),
        ("[http3]\ncertificate = '{f}/node.pem'\nkey = '{f}/node.key'\nlisten = '1.2.3.4:99999'\n", "listen"),
        ("[http3]\ncertificate = '{f}/node.pem'\nkey = '{f}/node.key'\nlisten = '300.1.1.1:1'\n", "listen"),
        ("[http3]\ncertificate = '{f}/node.pem'\nkey = '{f}/node.key'\nsecrets = ['{f}/node.pem']\n", "32 bytes"),
        ("[http3]\ncertificate = '{f}/node.pem'\nkey = '{f}/node.key'\nretry = 'sometimes'\n", "retry"),
        ("[http3]\ncertificate = '{f}/node.pem'\nkey = '{f}/node.key'\nmost_streams = 0\n", "most_streams"),
    ],
)
def test_a_bad_table_is_one_plain_line(tmp_path: Path, text: str, said: str) -> None:
    certificate(tmp_path)
    certificate(tmp_path, "other")
    (tmp_path / "config.json").write_text(json.dumps(config()))
    (tmp_path / "node.toml").write_text(text.format(f=tmp_path))
    env = {**environment(tmp_path / "config.json"), "CLOVERHOLD_CONFIG": str(tmp_path / "node.toml")}
    done = subprocess.run([sys.executable, "-m", "cloverhold"], cwd=ROOT, env=env, capture_output=True, text=True,
                          timeout=60)  # fmt: skip
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    assert said in done.stderr and "Traceback" not in done.stderr


def test_workers_and_http3_do_not_go_together(tmp_path: Path) -> None:
    certificate(tmp_path)
    (tmp_path / "config.json").write_text(json.dumps(config()))
    (tmp_path / "node.toml").write_text(f"[http3]\ncertificate = '{tmp_path}/node.pem'\nkey = '{tmp_path}/node.key'\n")
    env = {**environment(tmp_path / "config.json"), "CLOVERHOLD_CONFIG": str(tmp_path / "node.toml")}
    done = subprocess.run([sys.executable, "-m", "cloverhold.cli", "run", "--workers", "2"], cwd=ROOT, env=env,
                          capture_output=True, text=True, timeout=60)  # fmt: skip
    assert done.returncode == 2 and "http3: is served by one process" in done.stderr


def test_sigterm_answers_what_was_taken_and_sighup_shows_a_new_certificate(tmp_path: Path) -> None:
    async def test() -> None:
        certificate(tmp_path)
        server = Server(lambda name, body: None)
        await server.start()
        port, h3_port, down = free_ports(3)
        known = {"rev": 1, "all": True, "targets": [target("s0", server.port)]}
        settings = {**SETTINGS, "Profiles": CLASSES}
        (tmp_path / "config.json").write_text(json.dumps(config(
            listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{down}", known=known, settings=settings,
        )))  # fmt: skip
        said = f"listen = '127.0.0.1:{h3_port}'\ncertificate = '{tmp_path}/node.pem'\nkey = '{tmp_path}/node.key'\n"
        (tmp_path / "node.toml").write_text("[http3]\n" + said)
        env = {**environment(tmp_path / "config.json"), "CLOVERHOLD_CONFIG": str(tmp_path / "node.toml")}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cloverhold", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        try:
            assert process.stderr is not None
            async with asyncio.timeout(WAIT_S):
                while b"listening" not in (line := await process.stderr.readline()):
                    assert line, "the node has ended"
            to = ("127.0.0.1", h3_port)
            async with H3Client(to) as first:
                certificate(tmp_path)
                os.kill(process.pid, signal.SIGHUP)
                async with asyncio.timeout(WAIT_S):
                    shown = first.quic.get_peercert()
                    while True:
                        async with H3Client(to) as other:
                            now = other.quic.get_peercert()
                            assert shown is not None and now is not None
                            if now.public_bytes() != shown.public_bytes():
                                break
                (tmp_path / "node.toml").write_text("[http3]\n" + said + "nonsense = 1\n")
                os.kill(process.pid, signal.SIGHUP)  # a bad file changes nothing
                async with asyncio.timeout(WAIT_S):
                    while b"nonsense" not in (line := await process.stderr.readline()):
                        assert line, "the node has ended"
                stream = first.begin(head("alerta", "1"))
                await until(lambda: server.requests)
                process.send_signal(signal.SIGTERM)
                await first.until(lambda: first.goaway is not None)
                for writer in server.writers:
                    writer.write(OK)
                assert (await first.answer(stream)).status == 200
            assert await asyncio.wait_for(process.wait(), WAIT_S) == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            server.stop()

    play(test)
