"""What operators may ask of versions, and what they are answered, free of I/O. Each answer fits one message; more comes by pages."""

import json

from ..json_documents import load_schema, schema_errors
from .operator_requests import RejectedError
from .version_log import number

SCHEMA = load_schema(__file__, "operator_request.schema.json")
PAGE, PAGE_BYTES = 100, 24 << 10


class AdminApi:
    """`books`: versions.books.Books."""

    def __init__(self, books):
        self.books = books
        self.answers = {
            "list": self._list,
            "show": self._show,
            "diff": self._diff,
            "relays": self._relays,
            "rollback": self._rollback,
            "release": self._release,
            "pin": self._pin,
        }

    def answer(self, wish):
        """{..} for a wish as `operator_request.schema.json` says; {"why_not": text} where it can't be."""
        against = schema_errors(wish, SCHEMA)
        if against:
            return {"why_not": against[0][:500]}
        try:
            return self.answers[wish["what"]](
                **{name: value for name, value in wish.items() if name != "what"}
            )
        except RejectedError as error:
            return {"why_not": str(error)}

    def _told(self, version):
        return {
            "number": str(version.number),
            "parent": str(version.parent) if version.parent else None,
            "at": version.at,
            "cause": version.cause[:200],
            "author": version.author,
            "content": version.content,
            "pinned": version.number in self.books.wishes.pins,
        }

    def _list(self, before=None):
        """Newest first."""
        ledger, last = self.books.ledger, number(before) if before else None
        found = [one for one in sorted(ledger.versions, reverse=True) if last is None or one < last]
        holds = {
            name: {
                "number": f"{hold.number[0]}.{hold.number[1]}",
                "author": hold.author,
                "reason": hold.reason,
                "at": hold.at,
            }
            for name, hold in self.books.wishes.holds.items()
        }
        return {
            "versions": [self._told(ledger.versions[one]) for one in found[:PAGE]],
            "more": len(found) > PAGE,
            "newest": str(ledger.newest) if ledger.newest else None,
            "holds": holds,
            "in_charge": self.books.epoch is not None,
            "overruled": self.books.overruled(list(holds)),
        }

    def _page(self, held, after):
        """Tables of a set or of a change, as many as fit."""
        page, size = {}, 0
        for table in sorted(held):
            if after is not None and table <= after:
                continue
            size += len(json.dumps(held[table])) + len(table)
            if page and size > PAGE_BYTES:
                return {"tables": page, "more": True}
            page[table] = held[table]
        return {"tables": page, "more": False}

    def _show(self, number, after=None):
        wanted = self._number(number)
        held = self.books.ledger.sheets_of(wanted)
        if held is None:
            raise RejectedError(f"version {wanted} is not kept")
        return {
            "version": self._told(self.books.ledger.versions[wanted]),
            **self._page(held, after),
        }

    def _diff(self, old, new, after=None):
        changes = self.books.ledger.between(self._number(old), self._number(new))
        if changes is None:
            raise RejectedError(f"{old} or {new} is not kept")
        before = self.books.ledger.sheets_of(self._number(old))
        # As people read it: what each changed line was, and is.
        told = {}
        for table, change in changes.items():
            was = before.get(
                table, {"class": change and change.get("class"), "lines": {}, "level": None}
            )
            lines = (
                change["lines"]
                if change and "of" in change
                else {
                    **{host: None for host in was["lines"]},
                    **(change["lines"] if change else {}),
                }
            )
            told[table] = {
                "class": was["class"],
                "level": [was["level"], change["level"] if change else None],
                "lines": {
                    host: [was["lines"].get(host), weight]
                    for host, weight in lines.items()
                    if was["lines"].get(host) != weight
                },
            }
        return self._page(told, after)

    def _relays(self, after=""):
        found = sorted(one for one in self.books.relays() if one[0] > after)
        return {"relays": found[:PAGE], "more": len(found) > PAGE}

    def _rollback(self, number, author, reason, classes=()):
        return {
            "done": self.books.rollback(self._number(number), list(classes), author, reason),
            **self._serial(),
        }

    def _release(self, author, reason, classes=()):
        return {"done": self.books.release(list(classes), author, reason), **self._serial()}

    def _pin(self, number, on):
        return {"done": self.books.pin(self._number(number), on), **self._serial()}

    def _serial(self):
        return {"serial": list(self.books.wishes.serial)}

    @staticmethod
    def _number(text):
        return number(text)
