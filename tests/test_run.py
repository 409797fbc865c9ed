"""The effect of KNOWN-RED.txt on a test run: a listed test runs, may fail, and must not pass."""

import io
import unittest
import unittest.mock

import run


class Sample(unittest.TestCase):
    """Sample tests that only the tests below run: the test loader does not match their names."""

    def fails(self) -> None:
        """Fail an assertion."""
        self.fail("intended failure")

    def errs(self) -> None:
        """Raise an exception other than an assertion failure."""
        raise OSError("intended error")

    def passes(self) -> None:
        """Do nothing."""


class KnownFailuresResultTest(unittest.TestCase):
    """The result of running one sample test that is or is not listed."""

    def run_sample(self, name: str, *, listed: bool) -> unittest.TestResult:
        """Run one method of `Sample`."""
        sample = Sample(name)
        known_failures = {sample.id(): "why"} if listed else {}
        runner = unittest.TextTestRunner(io.StringIO(), resultclass=run.KnownFailuresResult)
        with unittest.mock.patch.dict(run.KNOWN_FAILURES, known_failures, clear=True):
            return runner.run(unittest.TestSuite([sample]))

    def test_a_listed_test_that_fails_or_errs_lets_the_run_pass(self) -> None:
        """A failure or error of a listed test counts as an expected failure."""
        for name in ("fails", "errs"):
            result = self.run_sample(name, listed=True)
            self.assertEqual(
                (result.testsRun, len(result.expectedFailures), result.wasSuccessful()),
                (1, 1, True),
            )

    def test_a_listed_test_that_passes_fails_the_run(self) -> None:
        """A fixed test must be removed from the list."""
        self.assertFalse(self.run_sample("passes", listed=True).wasSuccessful())

    def test_a_test_that_is_not_listed_counts_as_usual(self) -> None:
        """The list does not affect other tests."""
        self.assertTrue(self.run_sample("passes", listed=False).wasSuccessful())
        for name in ("fails", "errs"):
            self.assertFalse(self.run_sample(name, listed=False).wasSuccessful())


if __name__ == "__main__":
    unittest.main()
