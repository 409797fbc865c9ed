"""python -m indigodeck.simulator: batches on standard input, one reply each on standard output."""

import sys

from ..errors import MalformedMessageError
from .adapter import Adapter
from .codec import read_frame


def main():
    adapter, source, sink = Adapter(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(adapter.batch(*frame))
            sink.flush()
    except MalformedMessageError as error:
        print(f"indigodeck.simulator: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
