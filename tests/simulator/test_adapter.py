"""The simulator's adapter: frames in, frames out, and errors for malformed input."""

import io
import json
import struct
import subprocess
import sys
import unittest

from indigodeck.errors import MalformedMessageError
from indigodeck.simulator.adapter import Adapter
from indigodeck.simulator.codec import read_frame

SETTINGS = {
    "classes": [
        {"name": "read", "aimMs": 1000.0, "deadlineMs": 3000.0, "effect": "read_like", "novel": 1}
    ],
    "domain": {
        "linesPerS": 100.0,
        "mostWaiting": 100.0,
        "fixedCost": 3.0,
        "blackholeMs": 5000.0,
        "periodMs": 1000.0,
    },
    "rules": {
        "coldMs": 16000.0,
        "coldShare": 0.16,
        "drainGraceMs": 2000.0,
        "tipMultiple": 3.0,
        "fallMs": 2000.0,
    },
}


def event(code, layout="", *fields):
    """Return one event record."""
    return struct.pack("<H" + layout, code, *fields).ljust(56, b"\0")


def frame(*records, tail=b"", clock=1000.0):
    """Return a frame with these records."""
    body = b"".join(records) + tail
    return struct.pack("<IId", len(records), len(body), clock) + body


def start(settings=SETTINGS):
    """Return a frame that starts instance 3 with one server and one proxy."""
    text = json.dumps(settings).encode()
    entry = struct.pack("<HBf6sdBB", 0, 0, 1.0, b"server", 0.0, 1, 0)
    return frame(
        event(1150, "H", 3),
        event(1050, "QII", 7, 0, len(text)),
        event(1000, "III", 5, len(text), 1),
        event(1010, "IIB", 5, 1, 3),
        event(1140, "HBfB", 2, 0, 10.0, 1),
        tail=text + entry,
    )


def process_frame(adapter, data):
    """Return the adapter's reply to one frame."""
    return adapter.process(read_frame(io.BytesIO(data)))


class AdapterTest(unittest.TestCase):
    """The adapter, and the program that runs it."""

    def test_start_assigns_a_proxy_a_table_with_the_listed_server(self):
        """The replies to a start and a join contain these action codes in order."""
        adapter = Adapter()
        replies = [
            process_frame(adapter, start()),
            process_frame(adapter, frame(event(1150, "H", 3), event(1100, "Q", 2))),
        ]
        codes = [
            struct.unpack_from("<H", reply, 8 + 24 * k)[0]
            for reply in replies
            for k in range(struct.unpack_from("<I", reply)[0])
        ]
        self.assertEqual(codes, [1030, 1040, 1040, 1030, 1070, 1120, 1090, 1020])

    def test_instances_share_nothing_and_start_anew(self):
        """An instance that is stopped and started again gives the same replies."""
        adapter = Adapter()
        first = process_frame(adapter, start())
        stop = frame(event(1150, "H", 3), event(1030))
        self.assertEqual(process_frame(adapter, stop), struct.pack("<II", 0, 0))
        self.assertEqual(process_frame(adapter, start()), first)

    def test_errors_name_the_malformed_input(self):
        """Each kind of malformed input raises an error that names it."""
        incomplete = dict(SETTINGS, rules={})
        for data, expected in (
            (frame(event(9)), "unknown code 9"),
            (frame(event(1100, "Q", 1)), "no instance has been selected"),
            (frame(event(1150, "H", 3), event(1100, "Q", 1)), "instance 3 has not been started"),
            (frame(event(1000, "III", 0, 0, 9)), "outside the tail"),
            (start(incomplete), "rules.coldMs is missing"),
            (start()[:90], "input ends"),
            (start()[:7], "input ends"),
            (struct.pack("<IId", 9, 1, 0.0), "9 records in 1"),
        ):
            with self.subTest(expected), self.assertRaisesRegex(MalformedMessageError, expected):
                process_frame(Adapter(), data)

    def test_exception_in_the_assigner_is_reported_over_the_wire(self):
        """An exception in the assigner becomes a crash action."""

        class BrokenAssigner:
            def __init__(self, host, settings, seed):
                raise ValueError("no idea")

        self.assertIn(b"ValueError: no idea", process_frame(Adapter(BrokenAssigner), start()))

    def test_the_program_reports_malformed_input_and_writes_nothing_else(self):
        """The exit code and both outputs are checked, for malformed and for empty input."""
        done = subprocess.run(
            [sys.executable, "-m", "indigodeck.simulator"], input=b"\1\2\3", capture_output=True
        )
        self.assertEqual((done.returncode, done.stdout), (2, b""))
        self.assertIn(b"input ends within a header", done.stderr)
        empty = subprocess.run(
            [sys.executable, "-m", "indigodeck.simulator"], input=frame(), capture_output=True
        )
        self.assertEqual((empty.returncode, empty.stdout), (0, struct.pack("<II", 0, 0)))


if __name__ == "__main__":
    unittest.main()
