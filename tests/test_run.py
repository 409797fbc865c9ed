"""What KNOWN-RED.txt does to a run: a listed test runs, may fail, and must not pass."""

import io
import unittest
import unittest.mock

import run


class Sample(unittest.TestCase):
    """Run by the tests below alone: no method here is named as a test."""

    def fails(self) -> None:
        """Fail."""
        self.fail("as meant")

    def errs(self) -> None:
        """Raise an error that is no failure."""
        raise OSError("as meant")

    def passes(self) -> None:
        """Do nothing."""


class KnownFailuresResultTest(unittest.TestCase):
    """The result of a run of one sample, listed or not."""

    def run_sample(self, name: str, *, listed: bool) -> unittest.TestResult:
        """Run one method of `Sample`."""
        sample = Sample(name)
        known_failures = {sample.id(): "why"} if listed else {}
        runner = unittest.TextTestRunner(io.StringIO(), resultclass=run.KnownFailuresResult)
        with unittest.mock.patch.dict(run.KNOWN_FAILURES, known_failures, clear=True):
            return runner.run(unittest.TestSuite([sample]))

    def test_a_listed_test_that_fails_or_errs_lets_the_run_pass(self) -> None:
        """A failure or an error of a listed test is expected, and counted."""
        for name in ("fails", "errs"):
            result = self.run_sample(name, listed=True)
            self.assertEqual(
                (result.testsRun, len(result.expectedFailures), result.wasSuccessful()),
                (1, 1, True),
            )

    def test_a_listed_test_that_passes_fails_the_run(self) -> None:
        """A list that names a mended test is out of date."""
        self.assertFalse(self.run_sample("passes", listed=True).wasSuccessful())

    def test_a_test_that_is_not_listed_counts_as_usual(self) -> None:
        """The list changes nothing for the other tests."""
        self.assertTrue(self.run_sample("passes", listed=False).wasSuccessful())
        for name in ("fails", "errs"):
            self.assertFalse(self.run_sample(name, listed=False).wasSuccessful())


if __name__ == "__main__":
    unittest.main()
