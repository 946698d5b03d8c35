"""Parse and validate JSON documents that operators or their tools write."""

from __future__ import annotations

import functools
import json
from collections.abc import Iterable
from importlib import resources
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from marigoldtrail.net.address import is_address
from marigoldtrail.schema.generated.manifest import Manifest
from marigoldtrail.schema.generated.settings import Settings
from marigoldtrail.schema.generated.site import SiteSettings

if TYPE_CHECKING:
    import jsonschema

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 32
MAX_FAULTS = 50
MAX_VALUE_CHARS = 80

Document = TypeVar("Document", bound=msgspec.Struct)


class Fault(msgspec.Struct, kw_only=True, frozen=True):
    """
    One fault in a document.

    Parameters
    ----------
    source : str
        Name of the file or document.
    path : str
        JSON path of the faulty value, for example ``"$.upstreams[2].capacity"``.
    value : str
        The value, truncated.
    message : str
        What is wrong, and what is allowed.

    Examples
    --------
    >>> print(Fault(source="node.json", path="$.host", value="7", message="7 is not a string"))
    node.json: $.host: 7 is not a string
    """

    source: str
    path: str
    value: str
    message: str

    def __str__(self) -> str:
        return f"{self.source}: {self.path}: {self.message}"


class _DuplicateKeyError(ValueError):
    pass


def decode_json(data: bytes, source: str, *, max_bytes: int = MAX_DOCUMENT_BYTES) -> Any | Fault:
    """
    Decode JSON; reject duplicate keys, deep nesting, NaN, lone surrogates and oversized documents.

    Parameters
    ----------
    data : bytes
        The document, UTF-8.
    source : str
        Name of the document for faults.
    max_bytes : int
        Largest size in bytes.

    Returns
    -------
    object or Fault
        The decoded value, or the fault.

    Examples
    --------
    >>> decode_json(b'{"a": 1}', "example")
    {'a': 1}
    >>> str(decode_json(b'{"a": 1, "a": 2}', "example"))
    "example: $: key 'a' is given twice"
    """
    if len(data) > max_bytes:
        return _make_root_fault(source, f"{len(data)} bytes; at most {max_bytes} are allowed")
    try:
        value = json.loads(
            data, object_pairs_hook=_build_unique_object, parse_constant=_reject_constant
        )
    except RecursionError:
        return _make_root_fault(source, f"nested more than {MAX_DEPTH} levels deep")
    except (UnicodeDecodeError, ValueError) as exc:
        return _make_root_fault(source, str(exc))
    if _exceeds_depth(value, MAX_DEPTH):
        return _make_root_fault(source, f"nested more than {MAX_DEPTH} levels deep")
    try:
        msgspec.json.encode(value)
    except UnicodeEncodeError as exc:
        path = _find_text(value, exc.object, "$") or "$"
        message = f"{exc.object[exc.start]!a} is half of a surrogate pair"
        return Fault(source=source, path=path, value="", message=message)
    return value


def _make_root_fault(source: str, message: str) -> Fault:
    return Fault(source=source, path="$", value="", message=message)


def _find_text(value: Any, text: str, path: str) -> str | None:
    """Return the JSON path of a text, or of the object that has it as a key."""
    if value == text:
        return path
    children: Iterable[tuple[str, Any]] = ()
    if isinstance(value, dict):
        if text in value:
            return path
        children = ((f"{path}.{key}", child) for key, child in value.items())
    elif isinstance(value, list):
        children = ((f"{path}[{number}]", child) for number, child in enumerate(value))
    found = (_find_text(child, text, place) for place, child in children)
    return next((place for place in found if place is not None), None)


def _build_unique_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise _DuplicateKeyError(f"key {key!r} is given twice")
            seen.add(key)
    return result


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _exceeds_depth(value: Any, levels: int) -> bool:
    if not isinstance(value, dict | list):
        return False
    if levels == 0:
        return True
    children = value.values() if isinstance(value, dict) else value
    return any(_exceeds_depth(child, levels - 1) for child in children)


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """
    Load a JSON Schema of this package.

    Parameters
    ----------
    name : str
        Name without suffix, for example ``"settings"``.

    Returns
    -------
    dict
        The schema.
    """
    text = resources.files("marigoldtrail.schema").joinpath(f"{name}.json").read_text()
    return json.loads(text)


@functools.cache
def _load_validator(name: str) -> jsonschema.Draft202012Validator:
    # Imported on first use, because the library takes 6 MB of memory.
    import jsonschema

    return jsonschema.Draft202012Validator(load_schema(name))


def parse_document(
    data: bytes, schema: str, document_type: type[Document], source: str
) -> Document | list[Fault]:
    """
    Decode a document and validate all of it.

    Parameters
    ----------
    data : bytes
        The document, UTF-8 JSON.
    schema : str
        Name of its schema.
    document_type : type
        Generated class of the document.
    source : str
        Name of the document for faults.

    Returns
    -------
    msgspec.Struct or list of Fault
        The document, or all its faults (at most `MAX_FAULTS`).
    """
    value = decode_json(data, source)
    if isinstance(value, Fault):
        return [value]
    return _validate(value, schema, document_type, source)


def _validate(
    value: Any, schema: str, document_type: type[Document], source: str
) -> Document | list[Fault]:
    errors = sorted(_load_validator(schema).iter_errors(value), key=lambda exc: exc.json_path)
    if errors:
        return [_make_schema_fault(exc, source) for exc in errors[:MAX_FAULTS]]
    try:
        return msgspec.convert(value, document_type)
    except msgspec.MsgspecError as exc:
        # The validator takes some values for valid that no field can hold.
        return [_make_root_fault(source, str(exc))]


def _make_schema_fault(exc: jsonschema.ValidationError, source: str) -> Fault:
    value = json.dumps(exc.instance)[:MAX_VALUE_CHARS]
    message = exc.message
    if len(message) > 2 * MAX_VALUE_CHARS:
        message = f"{value}... does not satisfy {exc.validator}: {exc.validator_value!r}"
    return Fault(source=source, path=exc.json_path, value=value, message=message)


def parse_manifest(data: bytes, source: str = "manifest") -> Manifest | list[Fault]:
    """
    Parse a manifest against its schema; references are checked by the control package.

    Parameters
    ----------
    data : bytes
        The manifest, UTF-8 JSON.
    source : str
        Name of the document for faults.

    Returns
    -------
    Manifest or list of Fault
        The manifest, or all its faults.
    """
    return parse_document(data, "manifest", Manifest, source)


def parse_settings(data: bytes, source: str = "settings") -> Settings | list[Fault]:
    """
    Parse the settings of a node and check the rules that the schema cannot express.

    Parameters
    ----------
    data : bytes
        The settings, UTF-8 JSON.
    source : str
        Name of the file for faults.

    Returns
    -------
    Settings or list of Fault
        The settings, or all their faults.
    """
    settings = parse_document(data, "settings", Settings, source)
    if isinstance(settings, list):
        return settings
    return _check_settings(settings, source) or settings


def _check_settings(settings: Settings, source: str) -> list[Fault]:
    faults = []

    def add(path: str, value: str, message: str) -> None:
        faults.append(Fault(source=source, path=path, value=value, message=message))

    control_hosts = [peer.host for peer in settings.control_hosts]
    if "entry" in settings.roles and not settings.api_address:
        add("$.api_address", "", "needed for role 'entry'")
    if "control" in settings.roles and not settings.data_folder:
        add("$.data_folder", "", "needed for role 'control'")
    if "control" in settings.roles and settings.host not in control_hosts:
        add("$.control_hosts", settings.host, f"host {settings.host!r} is not listed")
    if len(set(control_hosts)) < len(control_hosts):
        add("$.control_hosts", "", "a host is listed twice")
    for index, group in enumerate(settings.groups):
        for member in group.members:
            if member not in control_hosts:
                path = f"$.groups[{index}].members"
                add(path, member, f"{member!r} is not one of {', '.join(control_hosts)}")
    if settings.groups and settings.groups[0].name != "config":
        add("$.groups[0].name", settings.groups[0].name, "the first group is 'config'")
    if len(settings.groups) == 1:
        add("$.groups", "config", "at least one record group is needed beside 'config'")
    return faults


def parse_site_settings(data: bytes, source: str = "settings") -> SiteSettings | list[Fault]:
    """
    Parse the settings of a host in a fleet that discovers its members through seed hosts.

    An optional value that is null counts as left out.

    Parameters
    ----------
    data : bytes
        The settings, UTF-8 JSON.
    source : str
        Name of the file for faults.

    Returns
    -------
    SiteSettings or list of Fault
        The settings, or all their faults.
    """
    settings = _decode_site_settings(data, source)
    if isinstance(settings, list):
        return settings
    needed = {
        "entry": ("request_address", "ready_address"),
        "control": ("operator_address", "lookup_address", "data_folder"),
    }
    faults = [
        Fault(source=source, path=f"$.{name}", value="", message=f"needed for {settings.role!r}")
        for name in needed[settings.role]
        if not getattr(settings, name)
    ]
    addresses = {
        name: getattr(settings, name)
        for name in (
            "request_address",
            "ready_address",
            "operator_address",
            "lookup_address",
            "metrics_address",
        )
    }
    addresses["upstream_list.address"] = settings.upstream_list.address
    for name, value in addresses.items():
        if value and not is_address(value):
            message = f"{value!r} is not an IP address and port"
            faults.append(Fault(source=source, path=f"$.{name}", value=value, message=message))
    if not is_address(f"{settings.ip}:1"):
        message = f"{settings.ip!r} is not an IP address"
        faults.append(Fault(source=source, path="$.ip", value=settings.ip, message=message))
    for index, seed in enumerate(settings.seeds):
        if not is_address(seed):
            message = f"{seed!r} is not an IP address and port"
            path = f"$.seeds[{index}]"
            faults.append(Fault(source=source, path=path, value=seed, message=message))
    return faults or settings


def _decode_site_settings(data: bytes, source: str) -> SiteSettings | list[Fault]:
    try:
        return msgspec.json.decode(data, type=SiteSettings)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        pass
    value = decode_json(data, source)
    if isinstance(value, Fault):
        return [value]
    value = _drop_nulls(value)
    try:
        return msgspec.convert(value, SiteSettings)
    except msgspec.MsgspecError:
        # msgspec reports only the first fault; the validator, loaded only now, reports all.
        return _validate(value, "site", SiteSettings, source)


def _drop_nulls(value: Any) -> Any:
    """Return a value without the null members of its objects: these count as left out."""
    if not isinstance(value, dict):
        return value
    return {key: _drop_nulls(member) for key, member in value.items() if member is not None}


def is_site_settings(data: bytes) -> bool:
    """Check whether a file holds settings of a fleet that uses seed hosts for discovery."""
    value = decode_json(data, "settings")
    return isinstance(value, dict) and "seeds" in value


def read_settings(path: str | Path) -> Settings | list[Fault]:
    """
    Read the settings file of a node.

    Parameters
    ----------
    path : str or Path
        The JSON file.

    Returns
    -------
    Settings or list of Fault
        The settings, or all their faults.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        return [_make_root_fault(str(path), exc.strerror or str(exc))]
    return parse_settings(data, str(path))
