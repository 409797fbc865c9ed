"""What outlasts a restart: the record of leases, and what relays rejected."""

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
    """The record of leases in a file."""

    def test_a_record_cut_or_flipped_anywhere_is_no_record(self):
        """Neither a torn file nor one with a flipped bit is read."""
        data = pack_record(LeaseRecord(12, {"fleet": KnownEpoch(31, "c2")}))
        self.assertEqual(unpack_record(data), LeaseRecord(12, {"fleet": KnownEpoch(31, "c2")}))
        for at in range(len(data)):
            self.assertIsNone(unpack_record(data[:at]))
            for bit in range(8):
                self.assertIsNone(
                    unpack_record(data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :])
                )

    def test_a_record_is_put_in_place_whole_or_not_at_all(self):
        """A torn new file leaves the old one; a missing folder is reported."""
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
    """What relays rejected, in memory and in a file."""

    def test_rejections_last_are_told_and_bounded(self):
        """Rejections are saved, sent once, read again, and limited in number."""
        loop = SimulatedLoop()
        kept = []
        said = []
        loop.start_timer = loop.call_later
        loop.save_rejections = lambda rejections: kept.append(rejections) or True
        loop.broadcast_rejections = said.append
        held = RejectionRegistry(loop)
        for nth in range(40):
            held.record("r1", "read", f"v{nth}")
        loop.run(0.5)
        self.assertEqual((kept, len(said)), ([[("r1", "read", "v39")]], 1))
        held.on_notice([Rejection("r2", "write", "v7")])
        loop.run(2)
        self.assertEqual((len(kept), len(said)), (2, 1))  # what was heard is kept, not said again
        self.assertEqual(
            RejectionRegistry(loop, unpack_rejections(pack_rejections(kept[-1]))).of_relay("r2"),
            {"write": "v7"},
        )
        self.assertEqual(unpack_rejections(pack_rejections(kept[-1])[:-4]), [])
        many = RejectionRegistry(loop, [Rejection(f"r{nth}", "read", "v") for nth in range(5000)])
        self.assertEqual(len(many.by_relay), 4096)


if __name__ == "__main__":
    unittest.main()
