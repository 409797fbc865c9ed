"""JSON documents, read and checked against schemas; errors name the place in the document."""

import json
import pathlib
from typing import Any

import jsonschema

from .errors import IndigodeckError

MOST_ERRORS_TOLD = 20


class InvalidDocumentError(IndigodeckError):
    """A document that cannot be used: each line names a place and what was expected there."""


def load_schema(module_file: str, name: str) -> dict:
    """Return a schema that ships in the package, beside the module that uses it."""
    return json.loads((pathlib.Path(module_file).parent / name).read_text())


def schema_errors(document: Any, schema: dict) -> list[str]:
    """Return all that a schema has against a document, a line each; none if it fits."""
    found = jsonschema.Draft202012Validator(schema).iter_errors(document)
    lines = ("/".join(map(str, error.absolute_path)) + ": " + error.message for error in found)
    return sorted(line.removeprefix(": ") for line in lines)


def parse_document(text: str | bytes, schema: dict, name: str = "the document") -> Any:
    """Return the document in a text.

    Raises
    ------
    InvalidDocumentError
        If the text is no JSON, or does not fit the schema; `name` begins each line.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise InvalidDocumentError(f"{name}: no JSON: {error}") from error
    errors = schema_errors(document, schema)
    if errors:
        raise InvalidDocumentError(
            "\n".join(f"{name}: {line}" for line in errors[:MOST_ERRORS_TOLD])
        )
    return document


def load_document(path: str | pathlib.Path, schema: dict) -> Any:
    """Return the document in a file.

    Raises
    ------
    InvalidDocumentError
        If the file cannot be read, is no JSON, or does not fit the schema.
    """
    path = pathlib.Path(path)
    try:
        return parse_document(path.read_text(), schema, path.name)
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(f"{path}: {error}") from error
