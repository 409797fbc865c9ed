"""Tests that a scripted conversation with a planner has the same results over SASP and xDS."""

import difflib
import json
import os
import tempfile
import unittest

import structlog
from support import ROOT

from indigodeck.testbed.scripted_conversation import ScriptedConversation


class ScriptedConversationTest(unittest.IsolatedAsyncioTestCase):
    """The clients of both protocols behave the same."""

    async def test_one_scripted_conversation_over_both_protocols(self):
        """Both protocols print the trace in tests/traces/conversation.txt."""
        structlog.configure(processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)])
        script = json.loads((ROOT / "examples/conversation.json").read_text())
        with tempfile.TemporaryDirectory() as folder:
            traces = await ScriptedConversation(script, folder).play()
        path = ROOT / "tests/traces/conversation.txt"
        if os.environ.get("INDIGODECK_WRITE_TRACES"):
            path.write_text("\n".join(traces["sasp"]) + "\n")
        for protocol, lines in traces.items():
            difference = "\n".join(
                difflib.unified_diff(
                    path.read_text().splitlines(), lines, "kept", protocol, lineterm=""
                )
            )
            self.assertFalse(difference, "\n" + difference)


if __name__ == "__main__":
    unittest.main()
