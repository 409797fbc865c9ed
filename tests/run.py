"""Runs all tests, or those named on the command line: python tests/run.py [NAME ...].

The tests listed in KNOWN-RED.txt at the root, one line `test id: cause` each, run as well, and
their lines are printed. A listed test may fail; one that passes, or a list that is too long, fails
the run.
Names are those of modules, classes or methods, such as `store.test_writer`.
"""

import asyncio
import pathlib
import sys
import unittest
from types import TracebackType
from typing import TypeAlias

TESTS = pathlib.Path(__file__).parent
KNOWN_FAILURES_FILE = TESTS.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
SLOW_CALLBACK_SECONDS = 600.0  # longer than any test

_ErrorInfo: TypeAlias = (
    tuple[type[BaseException], BaseException, TracebackType] | tuple[None, None, None]
)


def read_known_failures(text: str) -> dict[str, str]:
    """Return the lines of the list under the ids of their tests."""
    return {line.split(":")[0]: line for line in text.splitlines() if line}


KNOWN_FAILURES = read_known_failures(KNOWN_FAILURES_FILE.read_text())


class KnownFailuresResult(unittest.TextTestResult):
    """A result that expects each test listed in `KNOWN_FAILURES` to fail, and no other."""

    def addFailure(self, test: unittest.TestCase, err: _ErrorInfo) -> None:  # noqa: N802 - unittest's
        """Count a failure, as expected if the test is listed."""
        if test.id() in KNOWN_FAILURES:
            self.addExpectedFailure(test, err)
        else:
            super().addFailure(test, err)

    def addError(self, test: unittest.TestCase, err: _ErrorInfo) -> None:  # noqa: N802 - unittest's
        """Count an error, as expected if the test is listed."""
        if test.id() in KNOWN_FAILURES:
            self.addExpectedFailure(test, err)
        else:
            super().addError(test, err)

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802 - unittest's name
        """Count a success, as unexpected if the test is listed."""
        if test.id() in KNOWN_FAILURES:
            self.addUnexpectedSuccess(test)
        else:
            super().addSuccess(test)


class NoSlowCallbackReportsPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes event loops that do not report slow callbacks.

    Asynchronous tests run in asyncio's debug mode, whose reports say only how busy the machine is.
    """

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a new event loop."""
        loop = super().new_event_loop()
        loop.slow_callback_duration = SLOW_CALLBACK_SECONDS
        return loop


def find_tests(names: list[str]) -> unittest.TestSuite:
    """Return the tests with these names; if none is given, all of this folder and its packages."""
    loader = unittest.TestLoader()
    return loader.loadTestsFromNames(names) if names else loader.discover(str(TESTS))


def main(names: list[str]) -> int:
    """Run tests, print the known red ones, and return the exit code."""
    sys.path.insert(0, str(TESTS))  # tests import the modules they share by their names here
    asyncio.set_event_loop_policy(NoSlowCallbackReportsPolicy())
    passed = (
        unittest.TextTestRunner(resultclass=KnownFailuresResult)
        .run(find_tests(names))
        .wasSuccessful()
    )
    print("\n".join(f"known red: {line}" for line in KNOWN_FAILURES.values()))
    return 0 if passed and len(KNOWN_FAILURES) <= MAX_KNOWN_FAILURES else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
