"""JSON documents read and checked against schemas; what is wrong is told by its place in the document."""

import json
import pathlib

import jsonschema

from .errors import IndigodeckError


class InvalidDocumentError(IndigodeckError):
    """A document that can't be used: each line names the place and what was expected there."""


def shipped(beside, name):
    """A schema that ships in the package, next to the module that uses it."""
    return json.loads((pathlib.Path(beside).parent / name).read_text())


def wrong(document, schema):
    """All that a schema has against a document, a line each; none where it fits."""
    found = jsonschema.Draft202012Validator(schema).iter_errors(document)
    lines = ("/".join(map(str, error.absolute_path)) + ": " + error.message for error in found)
    return sorted(line.removeprefix(": ") for line in lines)


def parse(text, schema, name="the document"):
    """The document in a text, checked."""
    try:
        document = json.loads(text)
    except ValueError as error:
        raise InvalidDocumentError(f"{name}: no JSON: {error}") from error
    against = wrong(document, schema)
    if against:
        raise InvalidDocumentError("\n".join(f"{name}: {line}" for line in against[:20]))
    return document


def load(path, schema):
    """The document in a file, checked."""
    path = pathlib.Path(path)
    try:
        return parse(path.read_text(), schema, path.name)
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(f"{path}: {error}") from error
