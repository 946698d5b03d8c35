"""Validation of submitted manifests, including references between their sections."""

from __future__ import annotations

import hashlib
import json
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from marigoldtrail.net import Address
from marigoldtrail.schema import Fault, decode_json, parse_manifest
from marigoldtrail.schema.generated.manifest import Manifest, Pipeline, Stage, Upstream

SOURCE = "manifest"
# Larger JSON numbers are not exact in every JSON parser.
MAX_NUMBER = 2**53 - 1

UPSTREAM_KIND_OF_STAGE = {
    "encode": "encoder",
    "retrieve": "retriever",
    "rerank": "reranker",
    "generate": "engine",
    "service": "service",
}


class CheckedManifest(msgspec.Struct, kw_only=True, frozen=True):
    """
    A valid manifest and its canonical document.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    document : bytes
        JSON with sorted keys and without whitespace, so that equal content has equal bytes.
    digest : str
        SHA-256 of the document.
    """

    manifest: Manifest
    document: bytes
    digest: str


def check_manifest(data: bytes) -> CheckedManifest | list[Fault]:
    """
    Validate a submitted manifest.

    Parameters
    ----------
    data : bytes
        The document as UTF-8 JSON.

    Returns
    -------
    CheckedManifest or list of Fault
        The manifest, or all its faults.

    Examples
    --------
    >>> checked = check_manifest(b'{"number": 1, "pipelines": [], "upstreams": []}')
    >>> checked.document
    b'{"number":1,"pipelines":[],"upstreams":[]}'
    >>> faults = check_manifest(b'{"number": 0, "pipelines": [], "upstreams": []}')
    >>> faults[0].path
    '$.number'
    """
    value = decode_json(data, SOURCE)
    if isinstance(value, Fault):
        return [value]
    try:
        # Stops at the first fault, but takes a tenth of the schema validator's time.
        manifest = msgspec.convert(value, Manifest)
    except msgspec.ValidationError as exc:
        return _find_schema_faults(data) or [_fault("$", "", str(exc))]
    faults = check_references(manifest)
    if faults:
        return faults
    try:
        text = json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)
        document = text.encode()
        # Every node decodes exactly these bytes; a node that cannot would stop serving.
        manifest = msgspec.json.decode(document, type=Manifest)
    except (ValueError, msgspec.MsgspecError) as exc:
        return [_fault("$", "", str(exc))]
    digest = hashlib.sha256(document).hexdigest()
    return CheckedManifest(manifest=manifest, document=document, digest=digest)


def _find_schema_faults(data: bytes) -> list[Fault]:
    try:
        faults = parse_manifest(data, SOURCE)
    except msgspec.ValidationError:
        return []
    return faults if isinstance(faults, list) else []


def check_references(manifest: Manifest) -> list[Fault]:
    """
    Check references between the sections of a manifest that conforms to its schema.

    Parameters
    ----------
    manifest : Manifest
        The manifest.

    Returns
    -------
    list of Fault
        All faults, in the order of the document's sections.
    """
    faults: list[Fault] = []
    if manifest.number > MAX_NUMBER:
        faults.append(_fault("$.number", str(manifest.number), f"at most {MAX_NUMBER} is allowed"))
    pools: dict[str, list[Upstream]] = defaultdict(list)
    for upstream in manifest.upstreams:
        pools[upstream.pool].append(upstream)
    faults += _find_duplicates("$.pipelines", "name", [item.name for item in manifest.pipelines])
    for index, pipeline in enumerate(manifest.pipelines):
        faults += _check_pipeline(f"$.pipelines[{index}]", pipeline, pools, manifest)
    faults += _check_models(manifest)
    faults += _check_upstreams(manifest)
    accounts = [item.name for item in manifest.client_accounts]
    faults += _find_duplicates("$.client_accounts", "name", accounts)
    faults += _check_links(manifest)
    return faults


def _check_pipeline(
    path: str, pipeline: Pipeline, pools: dict[str, list[Upstream]], manifest: Manifest
) -> list[Fault]:
    faults = _find_duplicates(f"{path}.stages", "name", [item.name for item in pipeline.stages])
    known = {upstream.data_centre for upstream in manifest.upstreams}
    for index, name in enumerate(pipeline.data_centres):
        if name not in known:
            allowed = ", ".join(sorted(known))
            message = f"no upstream is in data centre {name!r}; allowed are: {allowed}"
            faults.append(_fault(f"{path}.data_centres[{index}]", name, message))
    for index, stage in enumerate(pipeline.stages):
        stage_path = f"{path}.stages[{index}]"
        faults += _check_stage_model(stage_path, stage, manifest)
        faults += _check_stage_pool(stage_path, stage, pipeline, pools)
    return faults


def _check_stage_model(path: str, stage: Stage, manifest: Manifest) -> list[Fault]:
    models = {model.name: model for model in manifest.models}
    if not stage.model:
        if stage.kind == "generate":
            return [_fault(f"{path}.model", "", "a generate stage needs a model")]
        if stage.adapter:
            return [_fault(f"{path}.adapter", stage.adapter, "an adapter needs a model")]
        return []
    model = models.get(stage.model)
    if model is None:
        return [_fault(f"{path}.model", stage.model, f"no model {stage.model!r} in $.models")]
    if stage.adapter and stage.adapter not in model.adapters:
        allowed = ", ".join(model.adapters) or "none"
        message = f"model {model.name!r} has no adapter {stage.adapter!r}; allowed are: {allowed}"
        return [_fault(f"{path}.adapter", stage.adapter, message)]
    return []


def _check_stage_pool(
    path: str, stage: Stage, pipeline: Pipeline, pools: dict[str, list[Upstream]]
) -> list[Fault]:
    pool = pools.get(stage.pool, [])
    if not pool:
        return [_fault(f"{path}.pool", stage.pool, f"no upstream is in pool {stage.pool!r}")]
    kind = UPSTREAM_KIND_OF_STAGE[stage.kind]
    wrong = [upstream.name for upstream in pool if upstream.kind != kind]
    if wrong:
        message = f"a {stage.kind} stage needs upstreams of kind {kind!r}; {wrong[0]!r} is not"
        return [_fault(f"{path}.pool", stage.pool, message)]
    allowed = pipeline.data_centres
    usable = [item for item in pool if not allowed or item.data_centre in allowed]
    if not usable:
        message = f"no upstream of pool {stage.pool!r} is in the pipeline's data centres"
        return [_fault(f"{path}.pool", stage.pool, message)]
    if stage.model and not any(stage.model in item.models for item in usable):
        message = f"no upstream of pool {stage.pool!r} may serve model {stage.model!r}"
        return [_fault(f"{path}.model", stage.model, message)]
    return []


def _check_models(manifest: Manifest) -> list[Fault]:
    faults = _find_duplicates("$.models", "name", [model.name for model in manifest.models])
    for index, model in enumerate(manifest.models):
        path = f"$.models[{index}]"
        faults += _find_duplicates(f"{path}.adapters", "", model.adapters)
        able = sum(
            item.kind == "engine" and model.name in item.models for item in manifest.upstreams
        )
        if model.min_warm > able:
            message = f"{model.min_warm} warm replicas are asked for; {able} engines may serve it"
            faults.append(_fault(f"{path}.min_warm", str(model.min_warm), message))
    return faults


def _check_upstreams(manifest: Manifest) -> list[Fault]:
    upstreams = manifest.upstreams
    faults = _find_duplicates("$.upstreams", "name", [item.name for item in upstreams])
    faults += _find_duplicates("$.upstreams", "address", [item.address for item in upstreams])
    models = {model.name for model in manifest.models}
    for index, upstream in enumerate(upstreams):
        path = f"$.upstreams[{index}]"
        for position, model in enumerate(upstream.models):
            if model not in models:
                message = f"no model {model!r} in $.models"
                faults.append(_fault(f"{path}.models[{position}]", model, message))
        try:
            Address.parse(upstream.address)
        except ValueError as exc:
            faults.append(_fault(f"{path}.address", upstream.address, str(exc)))
        if upstream.cold_slots > upstream.capacity:
            message = f"more than the capacity of {upstream.capacity}"
            faults.append(_fault(f"{path}.cold_slots", str(upstream.cold_slots), message))
        if upstream.outcome_final and not upstream.outcome_path:
            faults.append(_fault(f"{path}.outcome_final", "true", "needs an outcome_path"))
    return faults


def _check_links(manifest: Manifest) -> list[Fault]:
    names = [f"{link.source} to {link.target}" for link in manifest.links]
    faults = _find_duplicates("$.links", "", names)
    for index, link in enumerate(manifest.links):
        if link.source == link.target:
            faults.append(_fault(f"$.links[{index}].target", link.target, "equal to the source"))
    return faults


def _find_duplicates(path: str, field: str, values: Iterable[str]) -> list[Fault]:
    faults = []
    first: dict[str, int] = {}
    for index, value in enumerate(values):
        if value in first:
            where = f"{path}[{index}].{field}" if field else f"{path}[{index}]"
            message = f"{value!r} is given already at {path}[{first[value]}]"
            faults.append(_fault(where, value, message))
        first.setdefault(value, index)
    return faults


def _fault(path: str, value: str, message: str) -> Fault:
    return Fault(source=SOURCE, path=path, value=value, message=message)
