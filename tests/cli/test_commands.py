"""Tests of the command line: exit codes and output of commands."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from support import EXAMPLE_SCRIPT, ROOT


class CommandsTest(unittest.TestCase):
    """Each command runs as its own process."""

    def run_command(self, *arguments, **options):
        """Run a command until it ends."""
        return subprocess.run(
            [sys.executable, "-m", "indigodeck", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
            **options,
        )

    def test_check_reports_errors_with_positions_and_sets_exit_codes(self):
        """`check` reports each error with its position, and sets the documented exit codes."""
        self.assertEqual(
            self.run_command(
                "check", "examples/charter.json", "examples/roster.json", "examples/bad-day.json"
            ).returncode,
            0,
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "day.json"
            path.write_text(
                json.dumps(dict(EXAMPLE_SCRIPT, troubles=[{"at": 1, "kind": "flood"}], colour=1))
            )
            completed = self.run_command("check", str(path))
            self.assertEqual(completed.returncode, 1)
            self.assertIn("troubles/0/kind: 'flood' is not one of", completed.stdout)
            self.assertIn("'colour' was unexpected", completed.stdout)
            path.write_text("{")
            self.assertEqual(self.run_command("serve", "--charter", str(path)).returncode, 2)

    def test_weights_reads_tables_from_serve_until_sigterm_ends_it(self):
        """`serve` logs its port, where `weights` reads a table; SIGTERM ends it with code 0."""
        with tempfile.TemporaryDirectory() as folder:
            charter = json.loads((ROOT / "examples/charter.json").read_text())
            charter["fronts"]["sasp"]["port"] = 0
            (pathlib.Path(folder) / "charter.json").write_text(json.dumps(charter))
            (pathlib.Path(folder) / "roster.json").write_text(
                (ROOT / "examples/roster.json").read_text()
            )
            serve = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "indigodeck",
                    "serve",
                    "--charter",
                    folder + "/charter.json",
                ],
                stdout=subprocess.PIPE,
                text=True,
                cwd=ROOT,
            )
            try:
                lines = iter(serve.stdout.readline, "")
                listening = next(
                    line for line in map(json.loads, lines) if line["event"] == "listening"
                )
                self.assertEqual(listening["frontend"], "sasp")
                polled = self.run_command(
                    "weights",
                    f"127.0.0.1:{listening['port']}",
                    "--class",
                    "reading",
                    "--format",
                    "json",
                )
                shares = json.loads(polled.stdout)["reading"]
                self.assertGreaterEqual(len(shares), 4)
                self.assertAlmostEqual(sum(shares.values()), 1, places=3)
                serve.send_signal(signal.SIGTERM)
                self.assertEqual(serve.wait(10), 0)
            finally:
                serve.kill()
                serve.stdout.close()
                serve.wait()
            self.assertEqual(
                self.run_command(
                    "weights", f"127.0.0.1:{listening['port']}", "--class", "reading"
                ).returncode,
                3,
            )


if __name__ == "__main__":
    unittest.main()
