"""Runs random histories: ``python -m tests.fuzz --histories 500 --seed 1``."""

from __future__ import annotations

import argparse
import logging
import sys
import time
from collections import Counter

from tests.fuzz.actions import run_history
from tests.fuzz.guards import GUARDS, without_guard
from tests.fuzz.history import History
from tests.fuzz.scripts import SCRIPTS, SEARCH_SCRIPTS

DEFAULT_STEPS = 24
MAX_SEEDS_SHOWN = 5


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz")
    parser.add_argument("--histories", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=DEFAULT_STEPS)
    parser.add_argument("--seconds", type=float, default=3600.0, help="time limit")
    parser.add_argument("--without", choices=sorted(GUARDS), help="guard to disable")
    parser.add_argument("--script", choices=sorted(SCRIPTS | SEARCH_SCRIPTS))
    parser.add_argument(
        "--show", action="store_true", help="print the steps of each history"
    )
    parser.add_argument(
        "--stop",
        action="store_true",
        help="stop after the first history with a violation",
    )
    options = parser.parse_args()
    return _run(options)


def _run(options: argparse.Namespace) -> int:
    logging.disable(logging.CRITICAL)
    started_s = time.monotonic()
    faults: Counter[str] = Counter()
    broken_promises: Counter[str] = Counter()
    violated: list[tuple[int, list[str]]] = []
    history_count = 0
    for seed in range(options.seed, options.seed + options.histories):
        with without_guard(options.without):
            history = _run_history(seed, options)
            violations = history.oracle.violations
            history.close()
        history_count += 1
        faults += history.faults
        if violations:
            violated.append((seed, violations))
            broken_promises.update({text.split(":")[0] for text in violations})
        if options.show:
            _print(*history.steps, *violations)
        if violations and options.stop:
            break
        if time.monotonic() - started_s > options.seconds:
            break
    for seed, violations in violated[:MAX_SEEDS_SHOWN]:
        _print(f"seed {seed}:", *(f"  {text}" for text in violations[:3]))
    _print(
        f"histories run      {history_count} (seeds from {options.seed})",
        f"faults injected    {faults.total()}: {dict(sorted(faults.items()))}",
        f"histories violated {len(violated)}: {[seed for seed, _ in violated][:20]}",
        f"promises broken    {dict(broken_promises)}",
        f"time               {time.monotonic() - started_s:.1f} s",
    )
    return 1 if violated else 0


def _run_history(seed: int, options: argparse.Namespace) -> History:
    if not options.script:
        return run_history(seed, options.steps)
    history = History(seed)
    (SCRIPTS | SEARCH_SCRIPTS)[options.script][0](history)
    history.finish()
    return history


def _print(*lines: str) -> None:
    sys.stdout.write("\n".join(lines) + "\n")


sys.exit(main())
