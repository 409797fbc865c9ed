"""Read batches of events on standard input and answer each with a reply on standard output."""

import sys

from ..errors import MalformedMessageError
from .adapter import Adapter
from .codec import read_frame


def main() -> int:
    """Run until the input ends; return 0, 1 if the output is closed, or 2 for malformed input."""
    adapter = Adapter()
    source = sys.stdin.buffer
    sink = sys.stdout.buffer
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(adapter.process(frame))
            sink.flush()
    except MalformedMessageError as error:
        print(f"indigodeck.simulator: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
