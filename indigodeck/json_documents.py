"""Reading JSON documents and validating them against schemas; errors name the place in them."""

import json
import pathlib
from typing import Any

import jsonschema

from .errors import IndigodeckError

MAX_ERRORS_REPORTED = 20


class InvalidDocumentError(IndigodeckError):
    """A document that is not valid; each line of the message names a place and what is wrong."""


def load_schema(module_file: str, name: str) -> dict:
    """Return a schema file from the folder of the module that uses it."""
    return json.loads((pathlib.Path(module_file).parent / name).read_text())


def schema_errors(document: Any, schema: dict) -> list[str]:
    """Return all violations of a schema, one line each; the list is empty for a valid document."""
    violations = jsonschema.Draft202012Validator(schema).iter_errors(document)
    lines = ("/".join(map(str, error.absolute_path)) + ": " + error.message for error in violations)
    return sorted(line.removeprefix(": ") for line in lines)


def parse_document(text: str | bytes, schema: dict, name: str = "the document") -> Any:
    """Parse and validate a document.

    Raises
    ------
    InvalidDocumentError
        If the text is not JSON or violates the schema; each line of the message starts with `name`.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise InvalidDocumentError(f"{name}: not valid JSON: {error}") from error
    errors = schema_errors(document, schema)
    if errors:
        raise InvalidDocumentError(
            "\n".join(f"{name}: {line}" for line in errors[:MAX_ERRORS_REPORTED])
        )
    return document


def load_document(path: str | pathlib.Path, schema: dict) -> Any:
    """Read and validate the document in a file.

    Raises
    ------
    InvalidDocumentError
        If the file cannot be read, is not JSON, or violates the schema.
    """
    path = pathlib.Path(path)
    try:
        return parse_document(path.read_text(), schema, path.name)
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidDocumentError(f"{path}: {error}") from error
