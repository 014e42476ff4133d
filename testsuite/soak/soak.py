#!/usr/bin/env python3
"""Runs real sidecar processes against stand-ins of the platform under random faults and checks what callers and
backend servers see. Each failure is printed with the command that plays the same seed again."""
import argparse
import asyncio
import os
import sys
import tempfile
import traceback
from collections import Counter

from checks import Checker
from record import UNSAFE
from world import World

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
QUIET_S = 16.0  # Recovery within 15 s is promised; the last half counts.
SHOWN = 5


def arguments(words):
    """Parses the command line."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the faults and the load")
    parser.add_argument("--seeds", type=int, default=1, help="so many runs with seeds from --seed on")
    parser.add_argument("--minutes", type=float, default=1.0, help="time with faults of each run")
    parser.add_argument("--nodes", type=int, default=8, help="machines, 4 to 120")
    parser.add_argument("--fault-pause", type=float, default=1.2, help="mean time between faults in s; 0 for none")
    parser.add_argument("--request-pause", type=float, default=0.25, help="mean time between a caller's requests in s")
    parser.add_argument("--faults", default="", help="names of the faults to play, separated by commas; all if absent")
    parser.add_argument("--bin-dir", default=os.path.join(ROOT, "build", "bin"), help="folder of the programs")
    parser.add_argument("--keep", help="folder for the logs; a temporary one that is removed if absent")
    chosen = parser.parse_args(words)
    if not 4 <= chosen.nodes <= 120 or chosen.minutes <= 0 or chosen.seeds < 1 or chosen.request_pause <= 0:
        parser.error("--nodes is 4 to 120; --minutes, --seeds and --request-pause are above 0")
    return chosen


def replay_command(chosen, seed):
    """Returns the command that plays a run again."""
    return (f"scripts/soak --seed {seed} --minutes {chosen.minutes:g} --nodes {chosen.nodes} "
            f"--fault-pause {chosen.fault_pause:g} --request-pause {chosen.request_pause:g}"
            + (f" --faults {chosen.faults}" if chosen.faults else ""))


def print_outcomes(world):
    """Prints what became of the requests by route."""
    counts = {}
    for attempt in world.record.attempts.values():
        key = attempt.status if attempt.end == "answered" else attempt.end
        counts.setdefault(attempt.route, Counter())[str(key)] += 1
    for route, ends in sorted(counts.items()):
        print(f"  {route:8} " + " ".join(f"{end}:{count}" for end, count in sorted(ends.items())))
    runs = Counter(run.service for all_runs in world.record.runs.values() for run in all_runs if run.ran)
    print("  runs     " + " ".join(f"{service}:{count}" for service, count in sorted(runs.items())))
    print(f"  store    {world.store.calls}")


def report_unless_cancelled(loop, context):
    """Handles errors of tasks that nobody awaits. Connections that are open at the end are cancelled, which asyncio
    would report as an error of each."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def play(chosen, seed, folder):
    """Plays one run. Returns whether nothing was found."""
    asyncio.get_running_loop().set_exception_handler(report_unless_cancelled)
    world = World(seed, chosen.nodes, folder, os.path.join(os.path.abspath(chosen.bin_dir), "wagtailhead-sidecar"))
    try:
        await world.start()
        schedule, recovery_from = await world.play(chosen.minutes * 60, QUIET_S, chosen.fault_pause,
                                                   chosen.request_pause, [each for each in chosen.faults.split(",") if each])
    except Exception:
        # Printed here because the end of the loop may wait without limit for a task that ignores its cancellation.
        print(f"seed {seed}: not played to its end\n{traceback.format_exc()}  again: {replay_command(chosen, seed)}", flush=True)
        raise
    finally:
        await world.close()
    findings = Checker(world.record, world.site).check(recovery_from)
    orders = sum(attempt.kind == UNSAFE for attempt in world.record.attempts.values())
    print(f"seed {seed}: {len(world.record.attempts)} requests, {orders} of them orders, {len(schedule.played)} faults, "
          f"{len(world.record.versions)} configurations: {'FAILED' if findings else 'passed'}", flush=True)
    if findings or chosen.seeds == 1:
        print_outcomes(world)
    for rule, texts in findings.by_rule.items():
        print(f"  {rule}: {len(texts)}")
        for text in texts[:SHOWN]:
            print(f"    {text}")
    if findings:
        print("  faults: " + " ".join(f"{time:.1f}:{name}" for time, name in schedule.played))
        print("  configurations: " + " ".join(f"{each.time:.1f}:{each.number}" for each in world.record.versions))
        print(f"  again: {replay_command(chosen, seed)}", flush=True)
    return not findings


def main(words):
    """Plays the runs and returns the exit status."""
    chosen = arguments(words)
    failed = []
    for seed in range(chosen.seed, chosen.seed + chosen.seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
            folder = os.path.join(chosen.keep, str(seed)) if chosen.keep else temporary
            os.makedirs(folder, exist_ok=True)
            if not asyncio.run(play(chosen, seed, folder)):
                failed.append(seed)
    print(f"{chosen.seeds - len(failed)} seeds passed, {len(failed)} failed" + (f": {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
