"""A real node process between stand-in servers and clients of a test, all on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from loopback import WAIT_S, Catalog, Listening, free_ports, target, until
from test_process import ROOT, SETTINGS, environment

PROFILES = [
    {"Name": "consulta", "AimMs": 1500.0, "DeadlineMs": 3000.0, "Repeat": "read_like"},
    {"Name": "alerta", "AimMs": 1500.0, "DeadlineMs": 3000.0, "Repeat": "non_idempotent"},
    {"Name": "lote", "AimMs": 1500.0, "DeadlineMs": 3000.0, "Repeat": "idempotency_key", "Group": "cell",
     "KeyTtlMs": 2500.0},
]  # fmt: skip


@dataclass
class NodeProcess:
    """A running node: its process, its addresses and its log so far."""

    process: asyncio.subprocess.Process
    port: int
    management_port: int
    catalog: Any  # the discovery that it was given
    config: dict[str, Any]
    path: Path
    log: list[str] = field(default_factory=list)

    async def read_log(self) -> None:
        """Collect the log until the process closes it."""
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode(errors="replace").rstrip())

    async def manage(self, call: str) -> tuple[int, bytes]:
        """One call at the management address; its status and body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.management_port)
        writer.write(f"{call} HTTP/1.1\r\nHost: n0\r\n\r\n".encode())
        head, _, body = (await asyncio.wait_for(reader.read(), WAIT_S)).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split(b" ")[1]), body

    async def metrics(self) -> dict[str, float]:
        """The counters that the node tells at its management address."""
        status, body = await self.manage("GET /_metrics")
        assert status == 200
        return {name: float(value) for name, value in json.loads(body).items()}

    async def terminate(self) -> int:
        """SIGTERM; the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), WAIT_S)


@asynccontextmanager
async def node_process(
    folder: Path,
    *servers: Listening,
    profiles: Sequence[Mapping[str, Any]] = PROFILES,
    preload: Path | None = None,
    variables: Mapping[str, str] | None = None,
    limits: Mapping[str, float] | None = None,
    targets: Sequence[Mapping[str, Any]] | None = None,
    settings: Mapping[str, Any] | None = None,
    discovery: Callable[[list[dict[str, Any]]], Listening] = Catalog,
) -> AsyncIterator[NodeProcess]:
    """A node before these servers, ready to serve. preload: a shared library for its process alone;
    settings: keys of the settings to replace; discovery: made of the lines of the list.
    """
    for server in servers:
        await server.start()
    listed = [dict(t) for t in targets] if targets is not None else []
    catalog = discovery(listed or [target(f"s{i}", server.port) for i, server in enumerate(servers)])
    await catalog.start()
    port, management_port = free_ports(2)
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{catalog.port}",
        "mgmt": f"127.0.0.1:{management_port}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, **(limits or {})},
        "settings": {**SETTINGS, "Profiles": list(profiles), **(settings or {})},
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    loaded = {"LD_PRELOAD": str(preload)} if preload is not None else {}
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "cloverhold"),
        cwd=ROOT,
        env={**environment(path), **loaded, **(variables or {}), "PYTHONPATH": os.pathsep.join(sys.path)},
        stderr=asyncio.subprocess.PIPE,
    )
    node = NodeProcess(process, port, management_port, catalog, config, path)
    reading = asyncio.create_task(node.read_log())
    try:
        await until(lambda: process.returncode is not None or any("listening" in line for line in node.log))
        assert process.returncode is None, node.log
        async with asyncio.timeout(WAIT_S):
            while (await node.manage("GET /_ready"))[0] != 200:
                await asyncio.sleep(0.02)
        yield node
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        await reading
        catalog.stop()
        for server in servers:
            server.stop()
