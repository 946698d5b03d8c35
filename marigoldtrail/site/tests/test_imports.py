"""What a host of each role loads."""

import ast
from pathlib import Path

import marigoldtrail

ROOT = Path(marigoldtrail.__file__).parent
ENTRY_PROGRAM = ("marigoldtrail.platform.adapter", "marigoldtrail.site.entry_host")
CONTROL_ONLY = (
    "marigoldtrail.consensus",
    "marigoldtrail.control",
    "marigoldtrail.storage",
    "marigoldtrail.pieces.scheduler",
    "marigoldtrail.registry.service",
    "marigoldtrail.schema.generated.control",
    "marigoldtrail.schema.generated.records",
    "marigoldtrail.site.control_host",
)


def find_path(module):
    path = ROOT.joinpath(*module.split(".")[1:])
    return path / "__init__.py" if path.is_dir() else path.with_suffix(".py")


def list_imports(module):
    """Yield the modules that the import of a module of marigoldtrail loads directly."""
    for node in ast.parse(find_path(module).read_text()).body:
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("marigoldtrail"):
            yield node.module
            for alias in node.names:
                if find_path(f"{node.module}.{alias.name}").exists():
                    yield f"{node.module}.{alias.name}"
        elif isinstance(node, ast.Import):
            yield from (a.name for a in node.names if a.name.startswith("marigoldtrail"))


def list_loaded(modules):
    loaded, todo = set(), list(modules)
    while todo:
        module = todo.pop()
        if module in loaded:
            continue
        loaded.add(module)
        parts = module.split(".")
        todo += [".".join(parts[:count]) for count in range(1, len(parts))]
        todo += list_imports(module)
    return loaded


def test_entry_loads_nothing_of_control_hosts():
    """Guards against entries that pay with memory and start time for code that they never run."""
    loaded = list_loaded(ENTRY_PROGRAM)
    assert "marigoldtrail.site.launch" in loaded and "marigoldtrail.relay.dispatch" in loaded
    assert [m for m in sorted(loaded) if m.startswith(CONTROL_ONLY)] == []


def test_modules_of_control_hosts_are_found():
    """Guards against names in the list above that no import could ever have."""
    assert [module for module in CONTROL_ONLY if not find_path(module).exists()] == []
