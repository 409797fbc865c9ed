"""The thread that writes a planner's store: a slow disk delays nobody who decides.

Whoever puts a change gets a future, which is done when the change would outlast a power cut. Group
commit (as in P. Helland and others, "Group Commit Timers and High Volume Transaction Systems", HPTS
1987): changes that arrive while a sync is under way, or within `group_commit_delay` of the first
one that waits, are written and synced together; each stays a record of its own. A delay helped
nowhere it was measured (64 threads: 8,760 changes a second without, 5,912 with 2 ms), so the
default is none.
"""

import queue
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from .files import StoreFiles
from .index import Changes
from .write_ahead_log import StoreStoppedError, WriteAheadLog

MAX_QUEUED_REQUESTS = 4096  # further ones are rejected at once
MAX_GROUP_SIZE = 256  # requests that are written with one sync
CLOSE_TIMEOUT_SECONDS = 5  # a disk that hangs must not keep a planner from ending
COMPACTION_IDLE_SECONDS = 0.05  # without any request, after which a compaction goes on


@dataclass(slots=True)
class _Write:
    """Changes to commit as one record; the future gives None."""

    changes: Changes
    future: Future = field(default_factory=Future)


@dataclass(slots=True)
class _Query:
    """A function of the log to call between two commits; the future gives its result."""

    function: Callable[[WriteAheadLog], Any]
    future: Future = field(default_factory=Future)


class _Close:
    """The last request."""


_Request: TypeAlias = _Write | _Query | _Close


class StoreWriter:
    """Opens the store in `files` and owns it until `close`.

    `group_commit_delay`: seconds for which a change may wait for others. `log_event(event,
    **facts)` is called on the thread, and for damage on the caller's, when damage is found, when
    writing stops or resumes, and for each compaction.
    """

    def __init__(
        self, files: StoreFiles, log_event: Callable[..., None], group_commit_delay: float = 0.0
    ) -> None:
        self.files = files
        self.log = WriteAheadLog(files)
        self.commit_count = 0  # syncs, however many requests each of them served
        self._log_event = log_event
        self._group_commit_delay = group_commit_delay
        self._requests: queue.Queue[_Request] = queue.Queue(MAX_QUEUED_REQUESTS)
        self._closing = False
        self._stopped = False
        self._report_damage()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def _report_damage(self) -> None:
        event = "store_damaged" if self.log.data_lost else "store_tail_truncated"
        for damage in self.log.damage:
            self._log_event(
                event, file=damage.file_name, offset=damage.offset, reason=damage.reason
            )

    # For any thread.

    def put(self, changes: Changes) -> Future:
        """Write changes, all or none; the future is done when they are durable.

        The future raises StoreStoppedError or ValueError as `WriteAheadLog.commit` does.
        """
        return self._enqueue(_Write(changes))

    def query(self, function: Callable[[WriteAheadLog], Any]) -> Future:
        """Call a function of the log between two commits; the future gives its result."""
        return self._enqueue(_Query(function))

    def put_and_wait(self, changes: Changes) -> bool:
        """Write changes as `put` does, and return whether they are durable."""
        try:
            self.put(changes).result()
        except StoreStoppedError:
            return False
        return True

    def get(self, key: str) -> Any:
        """Return the newest value of a key, or None; waits for the thread."""
        return self.query(lambda log: log.get(key)).result()

    def close(self) -> None:
        """Write what waits, and give the files free."""
        self._closing = True
        self._requests.put(_Close())
        self._thread.join(CLOSE_TIMEOUT_SECONDS)
        if not self._thread.is_alive():
            self.files.close()

    def _enqueue(self, request: _Write | _Query) -> Future:
        if self._closing:
            request.future.set_exception(StoreStoppedError("the store is closed"))
            return request.future
        try:
            self._requests.put_nowait(request)
        except queue.Full:
            request.future.set_exception(
                StoreStoppedError(f"{MAX_QUEUED_REQUESTS} changes wait already")
            )
        return request.future

    # The thread.

    def _run(self) -> None:
        while True:
            try:
                first = self._requests.get(timeout=COMPACTION_IDLE_SECONDS)
            except queue.Empty:
                self._compact()
                continue
            group = self._collect_group(first)
            self._serve(group)
            if isinstance(group[-1], _Close):
                return
            self._compact()

    def _collect_group(self, first: _Request) -> list[_Request]:
        """Return what is served at once: writes that wait, up to one request of another sort."""
        group = [first]
        deadline = time.monotonic() + self._group_commit_delay
        while isinstance(group[-1], _Write) and len(group) < MAX_GROUP_SIZE:
            try:
                group.append(self._requests.get(timeout=max(0.0, deadline - time.monotonic())))
            except queue.Empty:
                break
        return group

    def _serve(self, group: Sequence[_Request]) -> None:
        writes = [request for request in group if isinstance(request, _Write)]
        if writes:
            self._commit(writes)
        for request in group:
            if isinstance(request, _Query):
                self._run_query(request)

    def _commit(self, writes: Sequence[_Write]) -> None:
        try:
            self.log.commit([write.changes for write in writes])
        except ValueError as error:
            self._commit_one_by_one(writes, error)
        except StoreStoppedError as error:
            self._fail(writes, error)
        except Exception as error:  # whoever waits must be notified, and the thread must go on
            self._fail(writes, StoreStoppedError(f"{type(error).__name__}: {error}"))
        else:
            self._succeed(writes)

    def _commit_one_by_one(self, writes: Sequence[_Write], error: ValueError) -> None:
        """One of these can't be written, which must not affect the others."""
        if len(writes) == 1:
            writes[0].future.set_exception(error)
            return
        for write in writes:
            self._commit([write])

    def _fail(self, writes: Sequence[_Write], error: StoreStoppedError) -> None:
        if not self._stopped:
            self._log_event("store_stopped", reason=str(error))
        self._stopped = True
        for write in writes:
            write.future.set_exception(error)

    def _succeed(self, writes: Sequence[_Write]) -> None:
        if self._stopped:
            self._log_event("store_resumed")
        self._stopped = False
        self.commit_count += 1
        for write in writes:
            write.future.set_result(None)

    def _run_query(self, query: _Query) -> None:
        try:
            query.future.set_result(query.function(self.log))
        except Exception as error:  # whoever asked is notified, and the thread goes on
            query.future.set_exception(error)

    def _compact(self) -> None:
        if not self.log.compaction_due():
            return
        try:
            finished = self.log.compact()
        except Exception as error:  # the segments hold everything: it is left until the next start
            self.log.compaction_error = f"{type(error).__name__}: {error}"
            finished = False
        if finished:
            self._log_event(
                "store_compacted",
                bytes=round(self.log.index.live_bytes),
                records=len(self.log.index),
            )
        elif self.log.compaction_error is not None:
            self._log_event("store_compaction_failed", reason=self.log.compaction_error)
