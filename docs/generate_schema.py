"""Writes the JSON Schema of settings and release files.

Usage: python docs/generate_schema.py. The files stand beside this one.
"""

import json
import pathlib
from typing import Any

import msgspec

from arbutusstall import notes
from arbutusstall import settings

DIRECTORY = pathlib.Path(__file__).resolve().parent

KINDS = {
    "settings.schema.json": settings.NodeSettings,
    "note.schema.json": notes.ReleaseNote,
}


def schema_text(kind: type[Any]) -> str:
    """Return the schema of a data class as JSON text."""
    schema = msgspec.json.schema(kind)
    for definition in schema["$defs"].values():
        # Unknown keys are refused when a file is read.
        definition["additionalProperties"] = False
    head = {"$schema": "https://json-schema.org/draft/2020-12/schema"}
    return json.dumps(head | schema, indent=2) + "\n"


def main() -> None:
    """Write every schema."""
    for name, kind in KINDS.items():
        (DIRECTORY / name).write_text(schema_text(kind))


if __name__ == "__main__":
    main()
