"""Run the fault soak: ``python -m tests.soak --seed 1 --runs 10``."""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys
import tempfile
from collections import Counter
from pathlib import Path

from aspenbridge.loop import NumericAddressLoop

from ._run import Options, SoakRun
from .weak_host import GUARDS


def main() -> int:
    """Run seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--without", choices=sorted(GUARDS), default="")
    parser.add_argument("--slot", type=int, default=1)
    parser.add_argument("--logs", type=Path, help="keep the hosts' lines here")
    options = parser.parse_args()
    # Callers leave in the middle of answers all the time.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    faults: Counter[str] = Counter()
    answers: Counter[str] = Counter()
    jobs, broken = 0, {}
    for seed in range(options.seed, options.seed + options.runs):
        run = Options(
            seed, options.seconds, options.hosts, options.without, options.slot
        )
        promises = run_seed(run, options.logs)
        _print(f"seed {seed}: {promises.faults.total()} faults, {promises.broken[:2]}")
        faults += promises.faults
        answers += promises.answers
        jobs += sum(job.accepted for job in promises.jobs.values())
        if promises.broken:
            broken[seed] = promises.broken
    _print(
        f"runs      {options.runs} from seed {options.seed}, {options.seconds} s each",
        f"faults    {faults.total()}: {dict(sorted(faults.items()))}",
        f"answers   {dict(sorted(answers.items()))}, jobs accepted {jobs}",
        f"broken    {len(broken)}: {sorted(broken)}",
        *(f"  seed {seed}: {text}" for seed in broken for text in broken[seed][:3]),
    )
    return 1 if broken else 0


def run_seed(options: Options, logs: Path | None = None):
    """Run one seed and return its promises."""
    with tempfile.TemporaryDirectory() as directory:
        kept = Path(directory) if logs is None else logs / str(options.seed)
        kept.mkdir(parents=True, exist_ok=True)
        with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
            return runner.run(SoakRun(options, kept).run())


def _print(*lines: str) -> None:
    sys.stdout.write("\n".join(lines) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
