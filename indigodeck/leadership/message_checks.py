"""Validation of the fields of messages between controllers, by their names on the wire."""

from collections.abc import Callable
from typing import Any, NamedTuple

from .state import MAX_MEMBERS

INTEGER_LIMIT = 1 << 62  # exclusive upper bound of integers
WEIGHT_LIMIT = 1e12  # exclusive upper bound of weights and admission levels
MAX_MEMBER_CHARS = 500  # of a member's id and address together


class FieldCheck(NamedTuple):
    """The check of a field's value, and the template of the error message if it fails."""

    is_valid: Callable[[Any], bool]
    error_template: str = "{name} is {value!r}"


def is_integer(value: Any) -> bool:
    """Return whether a value is an integer from 0 to below `INTEGER_LIMIT`."""
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < INTEGER_LIMIT


def is_text(value: Any) -> bool:
    """Return whether a value is a string."""
    return isinstance(value, str)


def is_integer_pair(value: Any) -> bool:
    """Return whether a value is a pair of integers.

    Such are the numbers of versions and the serials of operators' requests.
    """
    return _is_list_of(value, 2) and all(map(is_integer, value))


def _is_list_of(value: Any, length: int) -> bool:
    return isinstance(value, list) and len(value) == length


def _is_integer_pair_or_none(value: Any) -> bool:
    return value is None or is_integer_pair(value)


def _is_weight(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value < WEIGHT_LIMIT


def _is_known_epoch(value: Any) -> bool:
    return (
        _is_list_of(value, 2) and is_integer(value[0]) and (value[1] is None or is_text(value[1]))
    )


def _are_epochs(value: Any) -> bool:
    return isinstance(value, dict) and all(map(_is_known_epoch, value.values()))


def _are_members(value: Any) -> bool:
    if not isinstance(value, dict) or not 1 <= len(value) <= MAX_MEMBERS:
        return False
    return all(
        name and is_text(address) and len(name) + len(address) <= MAX_MEMBER_CHARS
        for name, address in value.items()
    )


def _are_members_or_none(value: Any) -> bool:
    return value is None or _are_members(value)


def _is_proposal_or_none(value: Any) -> bool:
    if value is None:
        return True
    if not _is_list_of(value, 3):
        return False
    number, epoch, members = value
    return is_integer(number) and is_integer(epoch) and _are_members(members)


def _are_rejections(value: Any) -> bool:
    return isinstance(value, list) and all(
        _is_list_of(entry, 3) and all(map(is_text, entry)) for entry in value
    )


ELECTION_CHECKS = {
    **dict.fromkeys(
        ("hello", "epoch", "round", "serial", "highest", "wait", "number"), FieldCheck(is_integer)
    ),
    **dict.fromkeys(("ward", "holder", "after"), FieldCheck(is_text)),
    "epochs": FieldCheck(_are_epochs, "epochs are not pairs of epoch and holder by relay group"),
    "members": FieldCheck(_are_members_or_none, "members are not addresses by id"),
    "held": FieldCheck(_are_rejections, "rejections are not triples of relay, class and content"),
    "plan": FieldCheck(
        _is_proposal_or_none, "proposal is not a triple of number, epoch and members"
    ),
}


def _are_operator_requests(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and value.keys() == {"serial", "pins", "holds"}
        and is_integer_pair(value["serial"])
        and isinstance(value["pins"], list)
        and all(map(is_integer_pair, value["pins"]))
        and isinstance(value["holds"], dict)
        and all(map(_is_rollback_pin, value["holds"].values()))
    )


def _is_rollback_pin(value: Any) -> bool:
    if not _is_list_of(value, 5):
        return False
    number, author, reason, at, serial = value
    return (
        is_integer_pair(number)
        and is_text(author)
        and is_text(reason)
        and is_integer(at)
        and is_integer_pair(serial)
    )


def _is_level(value: Any) -> bool:
    return _is_list_of(value, 2) and all(map(_is_weight, value))


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and value.keys() == {"class", "lines", "level"}
        and is_text(value["class"])
        and isinstance(value["lines"], dict)
        and all(map(_is_weight, value["lines"].values()))
        and _is_level(value["level"])
    )


def _are_tables(value: Any) -> bool:
    return isinstance(value, dict) and all(
        number.isdigit() and _is_table(table) for number, table in value.items()
    )


def _is_table_change(value: Any) -> bool:
    """Return whether a value is a table or a difference from one, whose removed lines are None."""
    if value is None:
        return True
    if not isinstance(value, dict):
        return False
    if value.keys() not in ({"class", "lines", "level"}, {"of", "lines", "level"}):
        return False
    is_difference = "of" in value
    return (
        is_text(value.get("class", value.get("of")))
        and isinstance(value["lines"], dict)
        and all(
            (weight is None and is_difference) or _is_weight(weight)
            for weight in value["lines"].values()
        )
        and _is_level(value["level"])
    )


def _are_table_changes(value: Any) -> bool:
    return isinstance(value, dict) and all(map(_is_table_change, value.values()))


def _is_version(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and value.keys() == {"number", "parent", "at", "cause", "author", "content"}
        and is_integer_pair(value["number"])
        and _is_integer_pair_or_none(value["parent"])
        and is_integer(value["at"])
        and all(is_text(value[name]) for name in ("cause", "author", "content"))
    )


def _is_version_origin(value: Any) -> bool:
    return isinstance(value, list) and [type(item) for item in value] == [int, str, str, str]


_REPLICATION_FIELD_CHECKS: dict[str, Callable[[Any], bool]] = {
    "newest": _is_integer_pair_or_none,
    "parent": _is_integer_pair_or_none,
    "content": is_text,
    "wishes": _are_operator_requests,
    "serial": is_integer_pair,
    "number": is_integer_pair,
    "part": is_integer,
    "of": is_integer,
    "sheets": _are_tables,
    "about": _is_version_origin,
    "entry": _is_version,
    "changes": _are_table_changes,
}
REPLICATION_CHECKS = {
    name: FieldCheck(is_valid, "{kind!r}: {name} is malformed")
    for name, is_valid in _REPLICATION_FIELD_CHECKS.items()
}
