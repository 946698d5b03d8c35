"""Indexes a manifest for the look-ups of the request path."""

from __future__ import annotations

from collections import defaultdict

from marigoldtrail.schema.generated.manifest import (
    Link,
    Manifest,
    Model,
    Pipeline,
    Stage,
    Upstream,
)

DEFAULT_WEIGHT = 1.0


class Catalog:
    """
    Look-ups in one manifest; a request uses the same one from start to end.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    """

    __slots__ = ("manifest", "pipelines", "pools", "upstreams", "_models", "_weights", "_links")

    def __init__(self, *, manifest: Manifest) -> None:
        self.manifest = manifest
        self.pipelines: dict[str, Pipeline] = {item.name: item for item in manifest.pipelines}
        self.pools: dict[str, list[Upstream]] = defaultdict(list)
        for upstream in manifest.upstreams:
            self.pools[upstream.pool].append(upstream)
        self.upstreams: dict[str, Upstream] = {item.name: item for item in manifest.upstreams}
        self._models: dict[str, Model] = {item.name: item for item in manifest.models}
        self._weights = {item.name: item.weight for item in manifest.client_accounts}
        self._links: dict[tuple[str, str], Link] = {
            (item.source, item.target): item for item in manifest.links
        }

    def weight_of(self, client_account: str) -> float | None:
        """Return the weight of an account; None if the manifest does not list it."""
        if not self._weights:
            return DEFAULT_WEIGHT
        return self._weights.get(client_account)

    def version_of(self, model: str) -> str:
        """Return the version in use of a model; empty if it has none."""
        found = self._models.get(model)
        return found.version if found is not None else ""

    def token_price_of(self, model: str) -> float:
        """Return the cost of one generated token, in cost units."""
        found = self._models.get(model)
        return found.price_per_token if found is not None else 0.0

    def delay_ms(self, source: str, target: str) -> float:
        """Return the one-way delay between two data centres in milliseconds."""
        link = self._links.get((source, target))
        return link.delay_ms if link is not None else 0.0

    def price_per_mb(self, source: str, target: str) -> float:
        """Return the cost of a megabyte between two data centres, in cost units."""
        link = self._links.get((source, target))
        return link.price_per_mb if link is not None else 0.0

    def upstreams_for(self, stage: Stage, data_centres: list[str]) -> list[Upstream]:
        """Return the upstreams that a stage may use, whatever their state."""
        return [
            upstream
            for upstream in self.pools.get(stage.pool, ())
            if (not data_centres or upstream.data_centre in data_centres)
            and (not stage.model or not upstream.models or stage.model in upstream.models)
        ]
