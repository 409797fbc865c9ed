"""The controllers that a settings file names, and requests to all of them.

Requests and answers are JSON objects with the keys of `leadership/transport.py` and
`leadership/message_codec.py`. {"unreached": reason} stands for the answer of a controller that
cannot be reached.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..json_documents import InvalidDocumentError
from .output import fail

Address = tuple[str, int]
Answer = dict[str, Any]


@dataclass(frozen=True, slots=True)
class OperatorTargets:
    """The addresses, by name, of processes that answer operator requests, and their shared key."""

    addresses: Mapping[str, Address]
    key: bytes

    def send_request(
        self, request: str, target: str | None = None, **fields: Any
    ) -> dict[str, Answer]:
        """Send a request to all processes, or only to `target`; return the answers by name."""
        addresses = self.addresses if target is None else {target: self.addresses[target]}
        return asyncio.run(send_request_to_all(addresses, self.key, request, **fields))


@dataclass(frozen=True, slots=True)
class ControllerGroup(OperatorTargets):
    """All controllers, and the state of the group as each of them reports it."""

    states: dict[str, Answer]


def has_answered(answer: Answer) -> bool:
    """Return whether an answer came from a controller that was reached."""
    return "unreached" not in answer


def any_answered(answers: dict[str, Answer]) -> bool:
    """Return whether at least one controller has answered."""
    return any(has_answered(answer) for answer in answers.values())


async def send_request_to_all(
    addresses: Mapping[str, Address], key: bytes, request: str, **fields: Any
) -> dict[str, Answer]:
    """Send a request to several controllers concurrently; return the answers by name."""
    from tornado.iostream import StreamClosedError
    from tornado.util import TimeoutError as DeadlineExceededError

    from ..leadership.message_codec import MessageRejectedError
    from ..leadership.operator_client import send_operator_request

    async def send_to_one(address: Address) -> Answer:
        try:
            return await send_operator_request(address, key, request, **fields)
        except (OSError, StreamClosedError, DeadlineExceededError, MessageRejectedError) as error:
            return {"unreached": str(error) or type(error).__name__}

    answers = await asyncio.gather(*(send_to_one(address) for address in addresses.values()))
    return dict(zip(addresses, answers, strict=True))


def read_controller_group(settings_path: str) -> ControllerGroup:
    """Query the state of the controllers in a settings file and of those added to them since."""
    from ..leadership.addresses import parse_address
    from ..planner.planner_settings import read_settings
    from ..serve import read_key

    try:
        settings = read_settings(settings_path)
        if not settings.leadership:
            fail(f"{settings_path}: no section takeover, so this planner has no other controllers")
        members = settings.leadership.members
        addresses = {name: parse_address(text) for name, text in members.items()}
        key = read_key(settings, settings.leadership.key_file)
    except (InvalidDocumentError, OSError) as error:
        fail(str(error))
    states = asyncio.run(send_request_to_all(addresses, key, "fleet"))
    added_members = {
        name: parse_address(member["place"])
        for state in states.values()
        for name, member in state.get("members", {}).items()
        if isinstance(member, dict) and name not in addresses
    }
    added_states = asyncio.run(send_request_to_all(added_members, key, "fleet"))
    return ControllerGroup({**addresses, **added_members}, key, {**states, **added_states})


def read_operator_targets(settings_path: str) -> OperatorTargets:
    """Return the processes, named in a settings file, that answer requests about versions."""
    from ..planner.planner_settings import read_settings
    from ..serve import read_key

    try:
        settings = read_settings(settings_path)
        if settings.leadership:
            return read_controller_group(settings_path)
        if not settings.operators:
            fail(
                f"{settings_path}: neither a section operators nor takeover, "
                "so this planner accepts no operator requests"
            )
        operators = settings.operators
        address = (operators.address, operators.port)
        return OperatorTargets({settings.name: address}, read_key(settings, operators.key_file))
    except (InvalidDocumentError, OSError) as error:
        fail(str(error))
