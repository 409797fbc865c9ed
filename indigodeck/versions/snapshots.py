"""What a version holds, free of I/O: sheets by table, their hash, and what differs between two sets of them.

A sheet is {"class": name, "lines": {host's id: weight}, "level": [part let in, way of further tries]}; a set is {table: sheet}. Ids
are the deployment's own, so that a set means the same after a restart and to another controller. A change of a set is
{table: None, where it is gone; a whole sheet, where it is new; or what differs of it: {"lines": {id: weight, or None}, ..}}, the last
marked by "of": the hash of the sheet that it was worked out from.
"""

import json

import xxhash

DIGITS = 6  # of a weight: more say nothing that a relay could be told


def sheet(name, lines, level):
    """`lines`: {host's id: weight}; `level`: (part, way)."""
    return {
        "class": name,
        "lines": {host: round(weight, DIGITS) for host, weight in sorted(lines.items())},
        "level": [round(level[0], DIGITS), level[1]],
    }


def hash_of(held):
    """16 hexadecimal digits that stand for a sheet, or for a set of them."""
    return xxhash.xxh3_64_hexdigest(
        json.dumps(held, sort_keys=True, separators=(",", ":")).encode()
    )


def content(hashes):
    """What stands for a whole set: of {table: hash of its sheet}, so that only changed sheets are gone through again."""
    return hash_of(hashes)


def content_of(sheets):
    return content({table: hash_of(held) for table, held in sheets.items()})


def change_of(old, new):
    """What makes the sheet `new` of the sheet `old` (None: there was none)."""
    if new is None or old is None or old["class"] != new["class"]:
        return new
    lines = {
        host: weight for host, weight in new["lines"].items() if old["lines"].get(host) != weight
    }
    lines.update((host, None) for host in old["lines"] if host not in new["lines"])
    if len(lines) >= len(new["lines"]):
        return new
    return {"of": hash_of(old), "lines": lines, "level": new["level"]}


def changes_of(old, new):
    """What makes the set `new` of the set `old`."""
    return {
        table: change_of(old.get(table), new.get(table))
        for table in sorted(old.keys() | new.keys())
        if old.get(table) != new.get(table)
    }


class SnapshotMismatchError(Exception):
    """A change that was worked out from another sheet than the one at hand."""


def changed(old, changes):
    """The set that these changes make of the set `old`, which stays as it is."""
    new = dict(old)
    for table, change in changes.items():
        if change is None:
            new.pop(table, None)
        elif "of" not in change:
            new[table] = change
        else:
            before = old.get(table)
            if before is None or hash_of(before) != change["of"]:
                raise SnapshotMismatchError(f"table {table} is not the one that was changed")
            lines = {**before["lines"], **change["lines"]}
            new[table] = {
                "class": before["class"],
                "level": change["level"],
                "lines": {host: lines[host] for host in sorted(lines) if lines[host] is not None},
            }
    return new


def lines_in(changes):
    """How many lines would be told of a change, a head for each table."""
    return sum(1 + len(change["lines"]) if change else 1 for change in changes.values())
