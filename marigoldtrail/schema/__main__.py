"""Regenerate the message and settings classes from the JSON Schemas (``make schema``)."""

from __future__ import annotations

import contextlib
import io
import re
import sys
import warnings
from pathlib import Path

from datamodel_code_generator.__main__ import main as run_generator

FOLDER = Path(__file__).parent

# Documents written by operators reject unknown fields; messages between nodes ignore them, so that
# two releases can run side by side during a rolling upgrade.
STRICT_SCHEMAS = ("settings", "manifest", "site")

OPTIONS = [
    "--input-file-type=jsonschema",
    "--output-model-type=msgspec.Struct",
    "--target-python-version=3.11",
    "--use-standard-collections",
    "--use-union-operator",
    "--disable-timestamp",
    "--enum-field-as-literal=all",
    "--use-schema-description",
    "--keyword-only",
]


def generate_module(name: str) -> str:
    """
    Generate the Python module of one schema.

    Parameters
    ----------
    name : str
        Name of the schema without its suffix.

    Returns
    -------
    str
        Python source.
    """
    target = FOLDER / "generated" / f"{name}.py"
    options = [f"--input={FOLDER / name}.json", f"--output={target}", *OPTIONS]
    if name in STRICT_SCHEMAS:
        options.append("--use-msgspec-forbid-unknown-fields")
    with contextlib.redirect_stderr(io.StringIO()), warnings.catch_warnings():
        warnings.simplefilter("ignore")
        if run_generator(options) != 0:
            raise RuntimeError(f"datamodel-code-generator failed for {name}.json")
    return simplify_optional_fields(target.read_text())


def simplify_optional_fields(source: str) -> str:
    """
    Remove the ``UnsetType`` alternative, since every optional field has a default.

    Parameters
    ----------
    source : str
        Python source written by the generator.

    Returns
    -------
    str
        Python source without ``UnsetType`` and ``UNSET``.
    """
    source = re.sub(r"\s*\| UnsetType", "", source)
    source = re.sub(r"= UNSET\b", "= None", source)
    source = re.sub(r"(: bytes|\[bytes\]?[^=]*?\)) = ''", r"\1 = b''", source)
    source = re.sub(
        r"(Annotated\[\s*bytes,(?:(?!\n    \w).)*?\) = )''", r"\1b''", source, flags=re.S
    )
    source = re.sub(r"(Annotated\[bytes,[^\n]*\]\n    \) = )''", r"\1b''", source)
    source = re.sub(r"(, )?\bUnsetType\b(?=[,\n])", "", source)
    return re.sub(r"\bUNSET, ", "", source)


def main() -> None:
    """Regenerate every module from its schema."""
    for path in sorted(FOLDER.glob("*.json")):
        source = generate_module(path.stem)
        (FOLDER / "generated" / f"{path.stem}.py").write_text(source)
        sys.stdout.write(f"{path.stem}: {len(source.splitlines())} lines\n")


if __name__ == "__main__":
    main()
