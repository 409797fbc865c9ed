"""One conversation by a script, held over SASP and over xDS."""

import difflib
import json
import os
import tempfile
import unittest

import structlog
from support import ROOT

from indigodeck.testbed.scripted_conversation import ScriptedConversation


class ScriptedConversationTest(unittest.IsolatedAsyncioTestCase):
    """The clients of both protocols behave alike."""

    async def test_one_scripted_conversation_over_both_protocols(self):
        """Both give the trace that is kept."""
        structlog.configure(processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)])
        script = json.loads((ROOT / "examples/conversation.json").read_text())
        with tempfile.TemporaryDirectory() as folder:
            traces = await ScriptedConversation(script, folder).run()
        path = ROOT / "tests/traces/conversation.txt"
        if os.environ.get("INDIGODECK_WRITE_TRACES"):
            path.write_text("\n".join(traces["sasp"]) + "\n")
        for wire, lines in traces.items():
            differing = "\n".join(
                difflib.unified_diff(
                    path.read_text().splitlines(), lines, "kept", wire, lineterm=""
                )
            )
            self.assertFalse(differing, "\n" + differing)


if __name__ == "__main__":
    unittest.main()
