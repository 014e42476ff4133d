#!/usr/bin/env python3
"""The checks of the soak on records made by hand, then a short run with one seed and those that failed once."""
import os
import sys
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, FOLDER)

import soak  # noqa: E402 pylint: disable=wrong-import-position

SHORT = ["--minutes", "0.3", "--nodes", "6"]


def main():
    """Returns the exit status."""
    checks = unittest.defaultTestLoader.discover(FOLDER, pattern="*_test.py")
    if not unittest.TextTestRunner(verbosity=1).run(checks).wasSuccessful():
        return 1
    with open(os.path.join(FOLDER, "seeds.txt"), encoding="utf-8") as lines:
        seeds = [line.split()[0] for line in lines if line.strip() and not line.startswith("#")]
    runs = [["--seed", seed] for seed in ["1"] + seeds]
    runs += [["--faults", "store_lapse", "--fault-pause", "7"],
             ["--faults", "backend_set_back,unwritten_leave", "--fault-pause", "3"],
             ["--faults", "forgotten_leave", "--fault-pause", "12"]]
    return max(soak.main(SHORT + run) for run in runs)


if __name__ == "__main__":
    sys.exit(main())
