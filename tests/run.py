"""Runs all tests, or those named on the command line: python tests/run.py [NAME ...].

A name is that of a module, class or method, such as `store.test_writer`.

KNOWN-RED.txt in the root folder lists tests that are known to fail, one `test id: cause` per line.
These tests run too, and their lines are printed. The run fails if a listed test passes, or if the
list has more than `MAX_KNOWN_FAILURES` lines.
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
    """Map test ids to their lines in the list."""
    return {line.split(":")[0]: line for line in text.splitlines() if line}


KNOWN_FAILURES = read_known_failures(KNOWN_FAILURES_FILE.read_text())


class KnownFailuresResult(unittest.TextTestResult):
    """A result that expects the tests listed in `KNOWN_FAILURES`, and only those, to fail."""

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
    """Creates event loops that do not report slow callbacks.

    Asynchronous tests run in asyncio's debug mode, which reports slow callbacks. In these tests
    the reports only reflect how busy the machine is.
    """

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a new event loop."""
        loop = super().new_event_loop()
        loop.slow_callback_duration = SLOW_CALLBACK_SECONDS
        return loop


def find_tests(names: list[str]) -> unittest.TestSuite:
    """Return the named tests, or all tests in this folder and its packages if `names` is empty."""
    loader = unittest.TestLoader()
    return loader.loadTestsFromNames(names) if names else loader.discover(str(TESTS))


def main(names: list[str]) -> int:
    """Run tests, print the list of known failures, and return the exit code."""
    sys.path.insert(0, str(TESTS))  # tests import shared modules by their names in this folder
    asyncio.set_event_loop_policy(NoSlowCallbackReportsPolicy())
    passed = (
        unittest.TextTestRunner(resultclass=KnownFailuresResult)
        .run(find_tests(names))
        .wasSuccessful()
    )
    print("\n".join(f"known failure: {line}" for line in KNOWN_FAILURES.values()))
    return 0 if passed and len(KNOWN_FAILURES) <= MAX_KNOWN_FAILURES else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
