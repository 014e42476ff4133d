"""The command lines of all stand-ins."""
import subprocess
import unittest

import harness


class SettingsTest(unittest.TestCase):
    """The command lines of all stand-ins."""

    def test_bad_settings_end_with_status_2_and_one_line(self):
        """Guards against a stand-in that starts with a setting it does not understand."""
        bad = {"wagtailhead-standin-store": ["--delay-ms=x"],
               "wagtailhead-standin-backend": ["--service=a", "--call=POST/orders"],
               "wagtailhead-standin-link": ["--route=a/b/c/d"]}
        for program, arguments in bad.items():
            for extra in (arguments, ["--no-such-flag"], []):
                listen = ["--listen=127.0.0.1:1"] if extra else []
                done = subprocess.run([f"{harness.BIN}/{program}", *listen, *extra], capture_output=True,
                                              text=True, timeout=harness.DEADLINE_S, check=False)
                self.assertEqual(done.returncode, 2, f"{program} {extra}: {done.stderr}")
                self.assertEqual(done.stderr.count("\n"), 1, done.stderr)
            for flag in ("--help", "--version"):
                done = subprocess.run([f"{harness.BIN}/{program}", flag], capture_output=True, text=True,
                                              timeout=harness.DEADLINE_S, check=False)
                self.assertEqual(done.returncode, 0)
                self.assertTrue(done.stdout)


if __name__ == "__main__":
    unittest.main()
