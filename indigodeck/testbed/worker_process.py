"""Worker processes that run hosts or relays (`indigodeck standin ..`), controlled by commands."""

import asyncio
import json
import sys
from typing import Any

from .errors import CommandFailedError

ANSWER_TIMEOUT_S = 20
END_TIMEOUT_S = 5
MAX_LINE_BYTES = 1 << 24


class WorkerProcess:
    """A process that reads commands as JSON lines and answers each with a JSON line."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self._lock = asyncio.Lock()

    @classmethod
    async def start(cls, *arguments: str) -> "WorkerProcess":
        """Start `indigodeck` with these arguments."""
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "indigodeck",
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=MAX_LINE_BYTES,
            )
        )

    async def execute(self, **command: Any) -> dict[str, Any]:
        """Send a command and return its answer.

        Raises
        ------
        CommandFailedError
            If the command failed or the process has ended.
        """
        stdin = self._process.stdin
        stdout = self._process.stdout
        assert stdin is not None
        assert stdout is not None
        async with self._lock:
            stdin.write(json.dumps(command).encode() + b"\n")
            await stdin.drain()
            line = await asyncio.wait_for(stdout.readline(), ANSWER_TIMEOUT_S)
        answer = json.loads(line) if line else {"error": "the process has ended"}
        if "error" in answer:
            raise CommandFailedError(f"{command.get('do')}: {answer['error']}")
        return answer

    async def end(self) -> None:
        """End the process by closing its input."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        await wait_or_kill(self._process)


async def wait_or_kill(process: asyncio.subprocess.Process) -> None:
    """Wait for a process that is ending; kill it if it does not end in time."""
    try:
        await asyncio.wait_for(process.wait(), END_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()
