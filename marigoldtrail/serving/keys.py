"""Qualifies refusals of orders whose idempotency key may have been used before."""

from __future__ import annotations

import msgspec

from marigoldtrail.errors import Failure, RunState
from marigoldtrail.schema.generated.records import FindKey
from marigoldtrail.serving.catalog import Catalog
from marigoldtrail.serving.shared import SharedState
from marigoldtrail.serving.types import PipelineRequest

LOOKUP_TIMEOUT_S = 0.5
# With this many look-ups in progress a refusal is qualified without a look-up.
MAX_CONCURRENT_LOOKUPS = 64


async def qualify_refusal(
    shared: SharedState, catalog: Catalog | None, req: PipelineRequest, failure: Failure
) -> Failure:
    """
    Set the run state of a refusal for the whole order, not only for this request.

    A caller that lost the answer to an order repeats it under the same key. If that repeat were
    refused as ``NOT_RUN``, the caller would place the order again under another key.

    Parameters
    ----------
    shared : SharedState
        State of the node.
    catalog : Catalog or None
        The manifest; None if none is known.
    req : PipelineRequest
        The refused request.
    failure : Failure
        The refusal, made before any claim was read.

    Returns
    -------
    Failure
        ``MAY_HAVE_RUN`` if the caller gave a key for an order, and the key is in use or cannot be
        looked up now; else the refusal unchanged.
    """
    if failure.run_state is not RunState.NOT_RUN or not has_own_key(catalog, req):
        return failure
    if not shared.view.is_current() or shared.key_lookups >= MAX_CONCURRENT_LOOKUPS:
        return _mark_may_have_run(
            failure, "whether an earlier request under the key has run is not known now"
        )
    request = FindKey(client_account=req.client_account, idempotency_key=req.idempotency_key)
    shared.key_lookups += 1
    try:
        reply = await shared.control.find_key(request, timeout_s=LOOKUP_TIMEOUT_S)
    finally:
        shared.key_lookups -= 1
    if isinstance(reply, Failure):
        return _mark_may_have_run(
            failure, "whether an earlier request under the key has run is not known now"
        )
    if reply.in_use:
        return _mark_may_have_run(
            failure, "an earlier request under the key has run or may have run"
        )
    return failure


def has_own_key(catalog: Catalog | None, req: PipelineRequest) -> bool:
    """
    Tell whether a request is an order under a key that its caller may have used before.

    Parameters
    ----------
    catalog : Catalog or None
        The manifest; None if none is known.
    req : PipelineRequest
        The request.

    Returns
    -------
    bool
        False if the caller gave no key, and for pipelines whose stages are all idempotent.
    """
    if req.idempotency_key == req.request_id:
        return False
    pipeline = catalog.pipelines.get(req.pipeline) if catalog is not None else None
    if pipeline is None:
        return catalog is None
    return any(not stage.idempotent for stage in pipeline.stages)


def _mark_may_have_run(failure: Failure, detail: str) -> Failure:
    detail = f"{failure.detail}; {detail}; repeat it under the same key"
    return msgspec.structs.replace(failure, run_state=RunState.MAY_HAVE_RUN, detail=detail)
