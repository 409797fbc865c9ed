"""The thread that writes a planner's store: a slow disk holds up nobody who decides, and one sync serves all that wait.

Whoever puts something gets a future, which is done when it would outlast a power cut. Group commit (as in P. Helland and
others, "Group Commit Timers and High Volume Transaction Systems", HPTS 1987): what comes while a sync is under way, or within
`delay` of the first that waits, is written and synced together; each stays a record of its own, there whole or not at all. A
delay helped nowhere it was measured (64 at a time: 8,760 changes a second without, 5,912 with 2 ms), so there is none unless stated.
"""

import queue
import threading
import time
from concurrent.futures import Future

from .write_ahead_log import StoreStoppedError, WriteAheadLog

WAITING_MOST = 4096  # changes that may wait to be written; what comes then is refused at once
TOGETHER_MOST = 256
PATIENCE = 5  # seconds for what waits to be written at the end; a disk that hangs must not keep a planner from ending
IDLE = 0.05  # seconds without anything to write, after which a compaction goes on


class Writer:
    """Opens the store in a folder (`files`: `log.Files`). `delay`: seconds that a change may wait for company; `note(event, **facts)`
    hears of what was found wrong, of each stop and of each compaction, on the thread.
    """

    def __init__(self, files, note, delay=0.0):
        self.note, self.delay, self.files = note, delay, files
        self.log = WriteAheadLog(files)
        self.waiting, self.ending, self.stopped, self.commits = (
            queue.Queue(WAITING_MOST),
            False,
            None,
            0,
        )
        for place in self.log.wrong:
            note(
                "store damaged" if self.log.lost else "store cut off",
                file=place.name,
                byte=place.start,
                why=place.why,
            )
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)
        self.thread.start()

    # What others may do, from any thread.

    def put(self, changes):
        """[(key, value, or None to drop it)], all or none. A future: None once they are kept; Stopped, ValueError as `Log`."""
        return self._queued(changes, None)

    def ask(self, call):
        """What `call(log)` gives, between two commits; as a future."""
        return self._queued(None, call)

    def keep(self, changes):
        """As `put`, for who must wait: True once they are kept."""
        try:
            self.put(changes).result()
            return True
        except StoreStoppedError:
            return False

    def get(self, key):
        return self.ask(lambda log: log.get(key)).result()

    def _queued(self, changes, call):
        told = Future()
        try:
            if self.ending:
                raise queue.Full
            self.waiting.put_nowait((changes, call, told))
        except queue.Full:
            told.set_exception(
                StoreStoppedError(
                    "the store is closed" if self.ending else f"{WAITING_MOST} changes wait already"
                )
            )
        return told

    def close(self):
        """What waits is written first."""
        self.ending = True
        self.waiting.put((None, None, None))
        self.thread.join(PATIENCE)
        if not self.thread.is_alive():
            self.files.close()

    # The thread.

    def _run(self):
        while True:
            try:
                first = self.waiting.get(timeout=IDLE)
            except queue.Empty:
                self._compact()
                continue
            batch = self._company(first)
            self._serve([one for one in batch if one[2] is not None])
            if batch[-1][2] is None:
                return
            self._compact()

    def _company(self, first):
        """What is written with it: all that waits, and what comes within the delay, up to what asks or ends."""
        batch, until = [first], time.monotonic() + self.delay
        while batch[-1][0] is not None and len(batch) < TOGETHER_MOST:
            try:
                batch.append(self.waiting.get(timeout=max(0.0, until - time.monotonic())))
            except queue.Empty:
                break
        return batch

    def _serve(self, batch):
        changes = [one for one in batch if one[0] is not None]
        if changes:
            self._commit(changes)
        for _, call, told in batch:
            if call is not None:
                self._answer(told, lambda: call(self.log))

    def _commit(self, batch):
        try:
            self.log.commit([changes for changes, _, _ in batch])
        except ValueError as error:
            # One of them can't be written: the others must not notice.
            if len(batch) > 1:
                for one in batch:
                    self._commit([one])
            else:
                batch[0][2].set_exception(error)
            return
        except (
            Exception
        ) as error:  # whatever it is, whoever waits must be told, and the thread must go on
            error = (
                error
                if isinstance(error, StoreStoppedError)
                else StoreStoppedError(f"{type(error).__name__}: {error}")
            )
            if self.stopped is None:
                self.note("store stopped", why=str(error))
            self.stopped = str(error)
            for _, _, told in batch:
                told.set_exception(error)
            return
        if self.stopped is not None:
            self.note("store goes on")
        self.stopped, self.commits = None, self.commits + 1
        for _, _, told in batch:
            told.set_result(None)

    @staticmethod
    def _answer(told, call):
        try:
            told.set_result(call())
        except Exception as error:  # whoever asked is told, whatever it is; the thread goes on
            told.set_exception(error)

    def _compact(self):
        if not self.log.due():
            return
        try:
            done = self.log.compact()
        except Exception as error:  # the logs hold everything: it is left until the next start
            self.log.undone, done = f"{type(error).__name__}: {error}", False
        if done:
            self.note("store compacted", bytes=round(self.log.live), records=len(self.log.index))
        elif self.log.undone is not None:
            self.note("store not compacted", why=self.log.undone)
