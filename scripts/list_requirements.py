"""Prints the packages that hosts on the users' platform need, as pyproject.toml pins them."""

import tomllib
from pathlib import Path

NEEDED = ("trio", "h11", "msgspec", "python-json-logger", "xxhash", "crc32c", "jsonschema", "prometheus-client")

project = tomllib.loads(Path("pyproject.toml").read_text())["project"]
pins = [pin for pin in project["dependencies"] if pin.partition("==")[0] in NEEDED]
print(*pins)
