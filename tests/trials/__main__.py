"""
Runs one simulated trial and prints its result as one line of JSON.

Usage: ``python -m tests.trials NAME --seed 1 --set rate=20``. Each ``--set``
passes one keyword argument to the trial or to its fleet.
"""

from __future__ import annotations

import argparse
import json
import sys
import time

from tests.support.virtual_loop import run_virtual
from tests.trials import bursts, faults, isolation, overload, sessions, shares

TRIALS = {
    "load": isolation.run_load,
    "burst": bursts.run_burst,
    "flood": shares.run_flood,
    "batch_shares": shares.run_batch_shares,
    "sessions": sessions.run_sessions,
    "overload": overload.run_overload,
    "fault": faults.run_fault,
    "herding": faults.run_herding,
}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("name", choices=sorted(TRIALS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--set", action="append", default=[])
    options = parser.parse_args()
    settings = dict(item.split("=", 1) for item in options.set)
    keywords = {key: _parse_value(value) for key, value in settings.items()}
    trial = TRIALS[options.name]
    start_s = time.monotonic()
    result = run_virtual(lambda clock: trial(clock, options.seed, **keywords))
    elapsed_s = round(time.monotonic() - start_s, 1)
    sys.stdout.write(json.dumps(result | {"took_s": elapsed_s}) + "\n")


def _parse_value(text: str):
    try:
        return json.loads(text)
    except ValueError:
        return text


if __name__ == "__main__":
    main()
