"""A store in a folder on a real file system."""

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
    """Killed processes, file locks and errors of a real file system."""

    def setUp(self) -> None:
        """Create a temporary folder."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.path = pathlib.Path(temporary.name) / "store"

    def open_folder(self) -> StoreFolder:
        """Open the folder, and close it at the end of the test."""
        folder = StoreFolder(self.path)
        self.addCleanup(folder.close)
        return folder

    def test_commits_survive_a_kill_of_the_committing_process(self) -> None:
        """Kill a process while it commits, and find the commits that it had acknowledged."""
        with subprocess.Popen(
            [sys.executable, "-c", COMMITTING_PROGRAM, str(self.path)],
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            output = process.stdout
            assert output is not None
            committed = [int(output.readline()) for _ in range(40)]
            # A second process can't open the folder while the first holds the lock.
            with self.assertRaisesRegex(OSError, "another process has locked the store folder"):
                StoreFolder(self.path)
            process.kill()
            committed += [int(line) for line in output.read().split()]
        log = WriteAheadLog(self.open_folder())
        self.assertIn(log.get("number"), (committed[-1], committed[-1] + 1))
        self.assertEqual(log.get("twice"), 2 * log.get("number"))

    def test_a_full_disk_stops_writing_but_not_reading(self) -> None:
        """Commits fail with the disk's error and succeed again once there is space."""
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
