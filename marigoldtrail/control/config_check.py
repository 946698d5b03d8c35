"""Check a manifest before it is sent: likely mistakes, and differences between versions.

Errors are those of `check_manifest`, for which control hosts refuse a manifest. Warnings are about
manifests that control hosts accept.
"""

from __future__ import annotations

from collections import Counter

from marigoldtrail.control.validation import CheckedManifest, check_manifest
from marigoldtrail.schema.findings import (
    Difference,
    Finding,
    compare_entries,
    compare_fields,
    make_error,
    make_warning,
)
from marigoldtrail.schema.generated.manifest import Manifest


def check_manifest_config(data: bytes) -> tuple[CheckedManifest | None, list[Finding]]:
    """
    Return a manifest and the findings about it.

    Parameters
    ----------
    data : bytes
        The document.

    Returns
    -------
    tuple
        The manifest, None if control hosts refuse it; the errors, or the warnings if there are no
        errors.

    Examples
    --------
    >>> checked, found = check_manifest_config(b'{"number": 0, "pipelines": [], "upstreams": []}')
    >>> checked, found[0].entry
    (None, '$.number')
    """
    checked = check_manifest(data)
    if isinstance(checked, list):
        return None, [make_error("refused", fault.path, fault.message) for fault in checked]
    return checked, find_warnings(checked.manifest)


def find_warnings(manifest: Manifest) -> list[Finding]:
    """
    Return the warnings about a valid manifest.

    Parameters
    ----------
    manifest : Manifest
        The manifest.

    Returns
    -------
    list of Finding
        In the order of the document's sections.
    """
    found = []
    for index, pipeline in enumerate(manifest.pipelines):
        # Stages run one after another.
        expected_ms = sum(stage.expected_ms for stage in pipeline.stages)
        if expected_ms > pipeline.deadline_ms:
            message = (
                f"stages of pipeline {pipeline.name!r} are expected to take {expected_ms:g} ms, "
                f"the deadline is {pipeline.deadline_ms} ms"
            )
            path = f"$.pipelines[{index}].deadline_ms"
            found.append(make_warning("stages-above-deadline", path, message))
    return found + _find_unused(manifest)


def _find_unused(manifest: Manifest) -> list[Finding]:
    stages = [stage for pipeline in manifest.pipelines for stage in pipeline.stages]
    models, pools = {stage.model for stage in stages}, {stage.pool for stage in stages}
    data_centres = {upstream.data_centre for upstream in manifest.upstreams}
    found = [
        make_warning("unused-model", f"$.models[{index}]", f"no stage uses model {model.name!r}")
        for index, model in enumerate(manifest.models)
        if model.name not in models
    ]
    unused = Counter(item.pool for item in manifest.upstreams if item.pool not in pools)
    first = {upstream.pool: index for index, upstream in reversed([*enumerate(manifest.upstreams)])}
    found += [
        make_warning(
            "unused-pool",
            f"$.upstreams[{first[pool]}]",
            f"no stage uses pool {pool!r} of {count} upstreams",
        )
        for pool, count in unused.items()
    ]
    found += [
        make_warning("unused-link", f"$.links[{index}]", f"no upstream is in data centre {name!r}")
        for index, link in enumerate(manifest.links)
        for name in (link.source, link.target)
        if name not in data_centres
    ]
    return found


def check_number(in_force: CheckedManifest, checked: CheckedManifest) -> list[Finding]:
    """
    Check that a manifest takes the place of the one in force.

    Parameters
    ----------
    in_force, checked : CheckedManifest
        The manifest in force and the one to be sent.

    Returns
    -------
    list of Finding
        An error if control hosts would refuse the number; none if the two are equal.
    """
    current, number = in_force.manifest.number, checked.manifest.number
    if number > current or checked.digest == in_force.digest:
        return []
    message = f"{number} is not above {current}, the number in force"
    return [make_error("version-not-higher", "$.number", message)]


def compare_manifests(in_force: Manifest, manifest: Manifest) -> list[Difference]:
    """
    Return the differences between two manifests, apart from their numbers.

    Parameters
    ----------
    in_force, manifest : Manifest
        The manifest in force and the one to be sent.

    Returns
    -------
    list of Difference
        In the order of the reference page.
    """
    found = []
    for kind, before, after in (
        ("pipeline", in_force.pipelines, manifest.pipelines),
        ("model", in_force.models, manifest.models),
        ("upstream", in_force.upstreams, manifest.upstreams),
        ("client account", in_force.client_accounts, manifest.client_accounts),
    ):
        found += compare_entries(
            kind, {item.name: item for item in before}, {item.name: item for item in after}
        )
    old, new = (
        {f"{link.source} to {link.target}": link for link in item.links}
        for item in (in_force, manifest)
    )
    found += compare_entries("link", old, new)
    return found + compare_fields("weight_store", in_force.weight_store, manifest.weight_store)
