"""python -m indigodeck.simhost: batches on standard input, one reply each on standard output."""

import sys

from .adapter import Adapter
from .codec import Malformed, read_frame


def main():
    adapter, source, sink = Adapter(), sys.stdin.buffer, sys.stdout.buffer
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(adapter.batch(*frame))
            sink.flush()
    except Malformed as error:
        print(f"indigodeck.simhost: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
