#!/usr/bin/env python3
"""Runs every test: ctest for the unit tests, then each testsuite/<case>/run.py, one after another.

A case passes when its run.py exits with status 0. Tests named in KNOWN-RED.txt are run and printed
but do not change the verdict. The last line is 'N passed, N failed'.
"""
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CASE_TIMEOUT_S = 1200
# What the unit test framework reports beside its logs. A warning fails the program, too.
UNIT_REPORT = re.compile(r"^\[(?:----|FAIL|CRASH|WARN|====)\].*", re.MULTILINE)


def known_red():
    """Returns the test names listed in KNOWN-RED.txt: the first word of each entry line."""
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as lines:
        return {line.split()[0] for line in lines if line.strip() and not line.startswith(("#", " "))}


def unit_tests():
    """Runs ctest and yields (name, passed) for each unit test program. What the failed ones report comes last."""
    done = subprocess.run(["ctest", "--test-dir", "build", "--output-on-failure", "-j", "4"], cwd=ROOT,
                          capture_output=True, text=True, check=False)
    sys.stdout.write(done.stdout)
    for line in UNIT_REPORT.findall(done.stdout):
        print(line)
    results = re.findall(r"Test\s+#\d+: (\S+) \.*\s*(\*{3}\S+|Passed)", done.stdout)
    if not results:
        yield "ctest", False
    for name, verdict in results:
        yield "unit/" + name, verdict == "Passed"


def cases(selected):
    """Yields the names of the cases to run, sorted."""
    for name in sorted(os.listdir(os.path.join(ROOT, "testsuite"))):
        if os.path.exists(os.path.join(ROOT, "testsuite", name, "run.py")) and (not selected or name in selected):
            yield name


def run_case(name):
    """Runs one case and returns whether it passed."""
    print(f"--- testsuite/{name}", flush=True)
    try:
        done = subprocess.run([sys.executable, f"testsuite/{name}/run.py"], cwd=ROOT, timeout=CASE_TIMEOUT_S,
                              check=False)
    except subprocess.TimeoutExpired:
        print(f"testsuite/{name}: no result within {CASE_TIMEOUT_S} s")
        return False
    return done.returncode == 0


def main():
    """Runs the selected cases, or everything, and returns the exit status."""
    selected = sys.argv[1:]
    red = known_red()
    results = [] if selected else list(unit_tests())
    results += [("testsuite/" + name, run_case(name)) for name in cases(selected)]
    failed = [name for name, passed in results if not passed]
    for name in failed:
        print(f"FAILED {name}" + (" (listed in KNOWN-RED.txt)" if name in red else ""))
    deciding = [name for name in failed if name not in red]
    skipped = len(failed) - len(deciding)
    print(f"{len(results) - len(failed)} passed, {len(deciding)} failed" + (f", {skipped} skipped" if skipped else ""))
    return 1 if deciding or not results else 0


if __name__ == "__main__":
    sys.exit(main())
