"""Fill the settings template of the deploy file, as the platform does."""

from __future__ import annotations

import json
import re
from pathlib import Path

TEMPLATE = Path(__file__).parents[3] / "deploy" / "host.json"
PLACEHOLDER = re.compile(r"\{\{([a-z_.]+)(\|json)?\}\}")


def fill_template(fields):
    """Return the settings text for the fields of one process; a missing value is null or empty."""

    def fill(match):
        value = fields
        for name in match.group(1).split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(fill, TEMPLATE.read_text())


def list_placeholders():
    """Return the names of the fields that the template uses."""
    return sorted({name for name, _ in PLACEHOLDER.findall(TEMPLATE.read_text())})


def make_fields(role, ip, ports, data_folder):
    """Return the fields of one process with nothing that a deployment may leave out."""
    front, ready, control, directory, internal = ports
    listen = {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"}
    if role == "control":
        listen = {"control": f"{ip}:{control}", "directory": f"{ip}:{directory}"}
    return {
        "node_name": f"{role}-1",
        "role": role,
        "ip": ip,
        "zone": "zone-a",
        "listen": listen,
        "internal_ports": [internal, internal + 9],
        "seeds": [f"{ip}:{control}"],
        "data_dir": str(data_folder) if role == "control" else None,
    }
