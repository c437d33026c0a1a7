"""Tests of the one-file program, run in a minimal environment."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.processes import Deployment, children_of, open_files, thread_count

PROGRAM = Path(__file__).parents[2] / "dist" / "aspenbridge"
PYTHON_DIRECTORY = str(Path(sys.base_prefix) / "bin")

pytestmark = pytest.mark.binary


def test_demo_passes_when_the_environment_is_clean() -> None:
    run = subprocess.run(
        [PROGRAM, "demo", "--json"], env={"PATH": PYTHON_DIRECTORY}, capture_output=True
    )
    assert run.returncode == 0, run.stderr
    assert json.loads(run.stdout)["passed"]


@pytest.mark.parametrize("extra_env", [{}, {"UV_USE_IO_URING": "1"}])
def test_host_has_one_thread_and_no_children_when_it_serves(
    tmp_path, extra_env
) -> None:
    env = {"PATH": PYTHON_DIRECTORY, **extra_env}
    with Deployment(tmp_path) as deployment:
        process, port = deployment.host("one", (str(PROGRAM),), env)
        deployment.configure(port)
        file_names = open_files(process.pid)
        assert thread_count(process.pid) == 1
        assert children_of(process.pid) == ""
        assert not [name for name in file_names if "uring" in name]
        process.terminate()
        assert process.wait(30.0) == 0
        assert b"Traceback" not in process.stderr.read()


def test_unpacked_program_contains_no_stand_ins() -> None:
    root = Path("/dev/shm/aspenbridge")
    assert not list(root.glob("*/site-packages/aspenbridge_standins"))
    assert list(root.glob("*/site-packages/aspenbridge/__main__.py"))
