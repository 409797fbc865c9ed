"""Tests of the data that survives a restart: the lease record and the rejected tables."""

import pathlib
import tempfile
import unittest

from harness import SimulatedLoop

from indigodeck.leadership.lease_record import (
    RecordFile,
    pack_record,
    pack_rejections,
    unpack_record,
    unpack_rejections,
)
from indigodeck.leadership.rejections import Rejection, RejectionRegistry
from indigodeck.leadership.state import KnownEpoch, LeaseRecord


class LeaseRecords(unittest.TestCase):
    """The lease record in a file."""

    def test_a_truncated_or_corrupted_record_is_not_read(self):
        """No prefix of a record and no record with a flipped bit is read."""
        data = pack_record(LeaseRecord(12, {"fleet": KnownEpoch(31, "c2")}))
        self.assertEqual(unpack_record(data), LeaseRecord(12, {"fleet": KnownEpoch(31, "c2")}))
        for at in range(len(data)):
            self.assertIsNone(unpack_record(data[:at]))
            for bit in range(8):
                self.assertIsNone(
                    unpack_record(data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :])
                )

    def test_a_record_file_is_replaced_atomically(self):
        """A torn new file does not affect the record; a missing folder makes saving fail."""
        with tempfile.TemporaryDirectory() as folder:
            file = RecordFile(pathlib.Path(folder) / "c1")
            self.assertIsNone(file.read())
            self.assertTrue(file.save(LeaseRecord(1, {"fleet": KnownEpoch(4, "c1")})))
            (pathlib.Path(folder) / "c1.new").write_bytes(b"torn")
            self.assertEqual(file.read(), LeaseRecord(1, {"fleet": KnownEpoch(4, "c1")}))
            self.assertFalse(
                RecordFile(pathlib.Path(folder) / "none" / "c1").save(LeaseRecord(1, {}))
            )


class Rejections(unittest.TestCase):
    """Rejected tables, in the registry and in a file."""

    def test_rejections_are_saved_sent_and_bounded(self):
        """Rejections are saved, sent once, read back, and limited in number."""
        loop = SimulatedLoop()
        saved = []
        sent = []
        loop.start_timer = loop.call_later
        loop.save_rejections = lambda rejections: saved.append(rejections) or True
        loop.broadcast_rejections = sent.append
        registry = RejectionRegistry(loop)
        for index in range(40):
            registry.record("r1", "read", f"v{index}")
        loop.run(0.5)
        self.assertEqual((saved, len(sent)), ([[("r1", "read", "v39")]], 1))
        registry.on_notice([Rejection("r2", "write", "v7")])
        loop.run(2)
        self.assertEqual((len(saved), len(sent)), (2, 1))  # received ones are saved, not sent
        self.assertEqual(
            RejectionRegistry(loop, unpack_rejections(pack_rejections(saved[-1]))).for_relay("r2"),
            {"write": "v7"},
        )
        self.assertEqual(unpack_rejections(pack_rejections(saved[-1])[:-4]), [])
        many = RejectionRegistry(
            loop, [Rejection(f"r{index}", "read", "v") for index in range(5000)]
        )
        self.assertEqual(len(many.by_relay), 4096)


if __name__ == "__main__":
    unittest.main()
