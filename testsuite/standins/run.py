#!/usr/bin/env python3
"""Starts the stand-ins and checks what they do by their visible effects."""
import os
import sys
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))

if __name__ == "__main__":
    sys.path.insert(0, FOLDER)
    suite = unittest.defaultTestLoader.discover(FOLDER, pattern="*_test.py", top_level_dir=FOLDER)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    # An empty suite means that no test was found, which is a failure.
    sys.exit(0 if result.wasSuccessful() and result.testsRun else 1)
