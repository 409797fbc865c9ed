"""A store in a folder on a real disk."""

import errno
import pathlib
import subprocess
import sys
import tempfile
import unittest
import unittest.mock

from indigodeck.store.files import StoreFolder
from indigodeck.store.write_ahead_log import StoreStoppedError, WriteAheadLog

COMMITTING_PROGRAM = """
import sys
from indigodeck.store.files import StoreFolder
from indigodeck.store.write_ahead_log import WriteAheadLog
log = WriteAheadLog(StoreFolder(sys.argv[1]))
number = 0
while True:
    number += 1
    log.commit([[('number', number), ('twice', 2 * number)]])
    print(number, flush=True)
"""


class StoreFolderTest(unittest.TestCase):
    """Kills, locks and errors of a real file system."""

    def setUp(self) -> None:
        """Make a temporary folder."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = pathlib.Path(temporary.name) / "store"

    def open_folder(self) -> StoreFolder:
        """Open the folder until the end of the test."""
        folder = StoreFolder(self.path)
        self.addCleanup(folder.close)
        return folder

    def test_commits_outlast_a_process_that_is_killed_during_them(self) -> None:
        """Kill a process while it commits, and read what it printed as committed."""
        with subprocess.Popen(
            [sys.executable, "-c", COMMITTING_PROGRAM, str(self.path)],
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            output = process.stdout
            assert output is not None
            committed = [int(output.readline()) for _ in range(40)]
            # One process at a time: a second one is rejected while the first holds the lock.
            with self.assertRaisesRegex(OSError, "another process holds it"):
                StoreFolder(self.path)
            process.kill()
            committed += [int(line) for line in output.read().split()]
        log = WriteAheadLog(self.open_folder())
        self.assertIn(log.get("number"), (committed[-1], committed[-1] + 1))
        self.assertEqual(log.get("twice"), 2 * log.get("number"))

    def test_a_full_disk_is_reported_while_the_store_can_be_read(self) -> None:
        """Writing stops with the disk's reason and goes on once there is space."""
        folder = StoreFolder(self.path)
        log = WriteAheadLog(folder)
        log.commit([[("a", 1)]])
        full = OSError(errno.ENOSPC, "no space left")
        with unittest.mock.patch.object(folder, "append", side_effect=full):
            for _ in range(2):
                with self.assertRaisesRegex(StoreStoppedError, "no space left"):
                    log.commit([[("a", 2)]])
            self.assertEqual(log.get("a"), 1)
        log.commit([[("a", 3)]])
        folder.close()
        self.assertEqual(WriteAheadLog(self.open_folder()).get("a"), 3)


if __name__ == "__main__":
    unittest.main()
