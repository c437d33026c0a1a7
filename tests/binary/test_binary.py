"""The one-file program: demo and process shape in a clean environment."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.processes import Deployment, children_of, open_files, thread_count

PROGRAM = Path(__file__).parents[2] / "dist" / "aspenbridge"
PYTHON_PATH = str(Path(sys.base_prefix) / "bin")

pytestmark = pytest.mark.binary


def test_demo_passes_when_the_environment_is_clean() -> None:
    run = subprocess.run(
        [PROGRAM, "demo", "--json"], env={"PATH": PYTHON_PATH}, capture_output=True
    )
    assert run.returncode == 0, run.stderr
    assert json.loads(run.stdout)["passed"]


@pytest.mark.parametrize("switch", [{}, {"UV_USE_IO_URING": "1"}])
def test_host_is_one_thread_without_children_when_it_serves(tmp_path, switch) -> None:
    env = {"PATH": PYTHON_PATH, **switch}
    with Deployment(tmp_path) as deployment:
        process, port = deployment.host("one", (str(PROGRAM),), env)
        deployment.configure(port)
        files = open_files(process.pid)
        assert thread_count(process.pid) == 1
        assert children_of(process.pid) == ""
        assert not [name for name in files if "uring" in name]
        process.terminate()
        assert process.wait(30.0) == 0
        assert b"Traceback" not in process.stderr.read()


def test_program_holds_no_stand_ins_when_it_is_unpacked() -> None:
    root = Path("/dev/shm/aspenbridge")
    assert not list(root.glob("*/site-packages/aspenbridge_standins"))
    assert list(root.glob("*/site-packages/aspenbridge/__main__.py"))
