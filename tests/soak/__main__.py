"""
Runs hosts as processes under random faults and checks what they promise.

Usage: ``python -m tests.soak --seed 1 --runs 10``.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys
import tempfile
from collections import Counter
from pathlib import Path

import attrs

from aspenbridge.loop import NumericAddressLoop

from ._faults import PLANS
from ._run import Options, SoakRun
from .host_main import GUARDS


def main() -> int:
    """Run one seed after another; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--without", choices=sorted(GUARDS), default="")
    parser.add_argument("--first", default="", help="the kind of the first fault")
    parser.add_argument("--plan", choices=PLANS, default="all", help="kinds of faults")
    parser.add_argument("--slot", type=int, default=1)
    parser.add_argument("--logs", type=Path, help="keep the hosts' logs here")
    options = parser.parse_args()
    # Callers often disconnect in the middle of a response; the errors that the
    # servers of the stand-ins log for this are no findings.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    faults: Counter[str] = Counter()
    responses: Counter[str] = Counter()
    jobs, counted, violations = 0, 0, {}
    run = Options(
        seconds=options.seconds,
        hosts=options.hosts,
        removed_guard=options.without,
        first_fault=options.first,
        plan=options.plan,
        subnet=options.slot,
    )
    for seed in range(options.seed, options.seed + options.runs):
        oracle = run_seed(attrs.evolve(run, seed=seed), options.logs)
        kinds = Counter(text.split(":")[0] for text in oracle.violations)
        _print(f"seed {seed}: {oracle.fault_counts.total()} faults, {dict(kinds)}")
        faults += oracle.fault_counts
        responses += oracle.response_counts
        counted += oracle.answers.counted
        jobs += sum(job.accepted for job in oracle.jobs.values())
        if oracle.violations:
            violations[seed] = oracle.violations
    _print(
        f"runs      {options.runs} from seed {options.seed}, {options.seconds} s each",
        f"faults    {faults.total()}: {dict(sorted(faults.items()))}",
        f"answers   {dict(sorted(responses.items()))}, jobs accepted {jobs},"
        f" {counted} requests that must be answered",
        f"broken    {len(violations)}: {sorted(violations)}",
        *(
            f"  seed {seed}: {text}"
            for seed in violations
            for text in violations[seed][:3]
        ),
    )
    return 1 if violations else 0


def run_seed(options: Options, logs: Path | None = None):
    """Run one seed and return its oracle, which holds the violations."""
    with tempfile.TemporaryDirectory() as directory:
        run_directory = Path(directory) if logs is None else logs / str(options.seed)
        run_directory.mkdir(parents=True, exist_ok=True)
        with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
            return runner.run(SoakRun(options, run_directory).run())


def _print(*lines: str) -> None:
    sys.stdout.write("\n".join(lines) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
