"""Test the settings and manifests of the demo's deployments."""

import json

import pytest

from marigoldtrail.demo.deployments import DEPLOYMENTS, build_manifest, build_settings
from marigoldtrail.schema import parse_manifest, parse_settings


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda d: d.name)
def test_documents_are_valid(deployment, tmp_path):
    """Guards against demo documents that no longer match the schemas."""
    manifest = parse_manifest(json.dumps(build_manifest(deployment)).encode())
    assert not isinstance(manifest, list), manifest
    assert len({upstream.address for upstream in manifest.upstreams}) == len(manifest.upstreams)
    for settings in build_settings(deployment, tmp_path):
        parsed = parse_settings(json.dumps(settings).encode())
        assert not isinstance(parsed, list), parsed
