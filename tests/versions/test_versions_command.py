"""Tests of the command `versions` against the operator port of a running planner."""

import asyncio
import json
import subprocess
import sys

from planner.stored_planner import (
    StoredPlannerCase,
    connected_client,
    document_copy,
    folder_of,
)
from support import ROOT, until


class VersionsCommandTest(StoredPlannerCase):
    """A planner with a store and an operator port."""

    async def run_versions(self, *arguments):
        """Run `versions` with arguments; return the exit code and the output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "indigodeck",
            "versions",
            "--charter",
            str(self.settings_path),
            *arguments,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    def write_settings(self):
        """Write the settings file of the command, with the port that the planner listens on."""
        document = document_copy(self.planner)
        document["operators"]["port"] = self.planner.service.operator_server.port
        self.settings_path = folder_of(self.planner) / "operators.json"
        self.settings_path.write_text(json.dumps(document))

    async def test_diff_rollback_release_pin_and_lists_over_operator_port(self) -> None:
        """A rollback changes the tables at once, but a draining host is removed nevertheless."""
        planner = self.planner
        planner.document["operators"] = {"port": 0, "key_file": "key"}
        (folder_of(planner) / "key").write_text("operators and planner share this")
        async with planner, connected_client(planner) as client:
            publisher = planner.service.versions.publisher
            await until(publisher.newest_version)
            self.write_settings()
            planner.set_host_states(host_0="draining")
            await client.until_without(0)
            planner.set_host_states(host_0="ready")
            await until(lambda: 0 in client.host_numbers())
            numbers = [str(number) for number in sorted(publisher.version_log.versions)]
            _, output = await self.run_versions("diff", numbers[0], numbers[1])
            self.assertIn("host-0                   4.0 -> -", output)
            code, _ = await self.run_versions("diff", "9.9", numbers[0])
            self.assertEqual(code, 1)
            code, _ = await self.run_versions("rollback", "nonsense", "--reason", "x")
            self.assertEqual(code, 1)
            code, output = await self.run_versions(
                "rollback", numbers[1], "--author", "duty", "--reason", "host-0 fails"
            )
            self.assertEqual((code, output.strip()), (0, f"reading, setpoint held at {numbers[1]}"))
            await client.until_without(0)
            _, output = await self.run_versions("list")
            self.assertIn(
                f"duty: rollback of reading, setpoint to {numbers[1]}: host-0 fails", output
            )
            # A draining host is removed from the tables despite the rollback.
            planner.set_host_states(host_5="draining")
            await client.until_without(5)
            code, _ = await self.run_versions("release", "--reason", "mended")
            self.assertEqual(code, 0)
            await client.until_hosts({0, 1, 2, 3, 4})
            code, _ = await self.run_versions("pin", numbers[0])
            self.assertEqual(code, 0)
            _, output = await self.run_versions("list")
            self.assertIn("pinned", output)
            code, _ = await self.run_versions("relays")
            self.assertEqual(code, 0)
