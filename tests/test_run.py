"""What KNOWN-RED.txt does to a run: a listed test runs, its failure is let pass, and its passing is not."""

import io
import unittest
import unittest.mock

import run


class Sample(unittest.TestCase):
    """Run by those below alone: none is named as a test."""

    def fails(self):
        self.fail("as meant")

    def errs(self):
        raise OSError("as meant")

    def passes(self):
        pass


class Listed(unittest.TestCase):
    def played(self, name, listed):
        test = Sample(name)
        with unittest.mock.patch.dict(run.RED, {test.id(): "why"} if listed else {}, clear=True):
            return unittest.TextTestRunner(io.StringIO(), resultclass=run.Result).run(
                unittest.TestSuite([test])
            )

    def test_a_listed_test_that_fails_or_errs_lets_the_run_pass(self):
        for name in ("fails", "errs"):
            result = self.played(name, listed=True)
            self.assertEqual(
                (result.testsRun, len(result.expectedFailures), result.wasSuccessful()),
                (1, 1, True),
            )

    def test_a_listed_test_that_passes_fails_the_run(self):
        self.assertFalse(self.played("passes", listed=True).wasSuccessful())

    def test_a_test_that_is_not_listed_counts_as_ever(self):
        self.assertTrue(self.played("passes", listed=False).wasSuccessful())
        for name in ("fails", "errs"):
            self.assertFalse(self.played(name, listed=False).wasSuccessful())


if __name__ == "__main__":
    unittest.main()
