"""Starts hosts and stand-ins as processes on loopback."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import attrs

from aspenbridge.http import key_digest

SALT = "ab12"
START_LIMIT_S = 30.0
STANDINS = ("table", "objects", "hosts", "engine")
MODULE = (sys.executable, "-m", "aspenbridge")


def own_ip() -> str:
    """Return a loopback address on which no other process takes ports."""
    pid = os.getpid()
    return f"127.{64 + pid % 128}.{pid // 128 % 256}.1"


def free_ports(count: int) -> list[int]:
    """Return free ports; another process may take them before their use."""
    with ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]


def request(
    port: int, method: str, path: str, body: Any = None, key: str = ""
) -> tuple[int, Any]:
    """Send a JSON request to loopback; return the status and the body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30.0)
    try:
        headers = {"authorization": f"Bearer {key}"} if key else {}
        encoded = None if body is None else json.dumps(body)
        connection.request(method, path, encoded, headers)
        reply = connection.getresponse()
        return reply.status, json.loads(reply.read())
    finally:
        connection.close()


@attrs.define
class Deployment:
    """
    Processes of the platform stand-ins and of hosts that use them.

    :ivar ports: the port of each stand-in, by kind.
    :ivar peers: the addresses at which the hosts receive peer messages.
    """

    directory: Path
    ports: dict[str, int] = attrs.field(factory=dict)
    processes: list[subprocess.Popen[bytes]] = attrs.field(factory=list)
    peers: list[str] = attrs.field(factory=list)

    def __enter__(self) -> Deployment:
        self.ports = dict(zip(STANDINS, free_ports(len(STANDINS)), strict=True))
        standin = (sys.executable, "-m", "aspenbridge_standins", "run")
        for kind, port in self.ports.items():
            self.start((*standin, kind, "--port", str(port)))
        for port in self.ports.values():
            wait_for(lambda port=port: listens(port))
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()

    def start(
        self, command: tuple[str, ...], env: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(command, env=env, stderr=subprocess.PIPE)
        self.processes.append(process)
        return process

    def host(
        self,
        name: str,
        command: tuple[str, ...] = MODULE,
        env: dict[str, str] | None = None,
    ) -> tuple[subprocess.Popen[bytes], int]:
        """Start a host and return its process and port once it is ready."""
        http_port, peer_port = free_ports(2)
        self.peers.append(f"127.0.0.1:{peer_port}")
        path = self.directory / f"{name}.ini"
        path.write_text(self.settings(name, http_port, peer_port))
        process = self.start((*command, "serve", "--config", str(path)), env)
        wait_for(lambda: listens(http_port) and ready(http_port))
        return process, http_port

    def list_hosts(self) -> None:
        """Enter every host in the platform's host list."""
        entries = [
            {"address": peer, "region": "local", "failure_domain": "local-a"}
            for peer in self.peers
        ]
        request(self.ports["hosts"], "POST", "/control/hosts", entries)

    def settings(self, name: str, http_port: int, peer_port: int) -> str:
        ports = self.ports
        digest = key_digest(SALT, "secret")
        return f"""
[host]
name = {name}
[listen]
http_port = {http_port}
peer_port = {peer_port}
[platform]
table = 127.0.0.1:{ports["table"]}
objects = 127.0.0.1:{ports["objects"]}
host_list = 127.0.0.1:{ports["hosts"]}
[configuration]
bootstrap_operator = root:{SALT}:{digest}
[limits]
shutdown_notice_s = 0.5
"""

    def configure(self, port: int) -> None:
        """
        Add an operator, a customer and the engine to the configuration.

        :param port: the HTTP port of the host that makes the change.
        """
        secret = {"key_salt": SALT, "key_digest": key_digest(SALT, "secret")}
        engine = {
            "address": f"127.0.0.1:{self.ports['engine']}",
            "region": "local",
            "failure_domain": "local-a",
            "model": "coder",
            "version": "1",
        }
        put = [
            {"kind": "operator", "name": "root", "spec": secret},
            {"kind": "customer", "name": "ann", "spec": secret},
            {"kind": "engine", "name": "engine", "spec": engine},
        ]
        change = {"base_revision": 0, "put": put}
        status, reply = request(
            port, "POST", "/admin/v1/changes", change, "root.secret"
        )
        assert status == 201, reply


def listens(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


def ready(port: int) -> bool:
    return request(port, "GET", "/health/ready")[0] == 200


def wait_for(condition: Any) -> None:
    end_s = time.monotonic() + START_LIMIT_S
    while not condition():
        assert time.monotonic() < end_s, "a process did not start"
        time.sleep(0.02)


def thread_count(pid: int) -> int:
    return len(list(Path(f"/proc/{pid}/task").iterdir()))


def children_of(pid: int) -> str:
    return Path(f"/proc/{pid}/task/{pid}/children").read_text()


def open_files(pid: int) -> list[str]:
    """Return what a process has open; it may close files meanwhile."""
    names = []
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(FileNotFoundError):  # closed since it was listed
            names.append(str(entry.readlink()))
    return names
