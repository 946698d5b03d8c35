"""What a refusal may say of an order whose idempotency key may have been used before."""

from __future__ import annotations

import msgspec

from marigoldtrail.errors import Failure, RunState
from marigoldtrail.schema.generated.records import FindKey
from marigoldtrail.serving.catalog import Catalog
from marigoldtrail.serving.shared import Shared
from marigoldtrail.serving.types import PipelineRequest

LOOKUP_TIMEOUT_S = 0.5
# Beyond so many look-ups at the same time a refusal is not worth another one.
MAX_LOOKUPS = 64


async def qualify_refusal(
    shared: Shared, catalog: Catalog | None, req: PipelineRequest, failure: Failure
) -> Failure:
    """
    Make a refusal true of the order, not only of this request.

    A caller that lost the answer to an order repeats it under the same key. If that repeat is
    refused as not run, the caller would place the order again under another key.

    Parameters
    ----------
    shared : Shared
        Parts of the server.
    catalog : Catalog or None
        The manifest; None if none is known.
    req : PipelineRequest
        The refused request.
    failure : Failure
        The refusal, before any claim was looked at.

    Returns
    -------
    Failure
        ``MAY_HAVE_RUN`` if the caller gave a key for an order, and the key is in use or cannot be
        looked up now; else the refusal as it is.
    """
    if failure.run_state is not RunState.NOT_RUN or not has_own_key(catalog, req):
        return failure
    if not shared.view.is_current() or shared.key_lookups >= MAX_LOOKUPS:
        return _doubt(failure, "whether an earlier request under the key has run is not known now")
    request = FindKey(client_account=req.client_account, idempotency_key=req.idempotency_key)
    shared.key_lookups += 1
    try:
        reply = await shared.control.find_key(request, timeout_s=LOOKUP_TIMEOUT_S)
    finally:
        shared.key_lookups -= 1
    if isinstance(reply, Failure):
        return _doubt(failure, "whether an earlier request under the key has run is not known now")
    if reply.in_use:
        return _doubt(failure, "an earlier request under the key has run or may have run")
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
        False without a key of the caller's, and for pipelines that may be repeated freely.
    """
    if req.idempotency_key == req.request_id:
        return False
    pipeline = catalog.pipelines.get(req.pipeline) if catalog is not None else None
    if pipeline is None:
        return catalog is None
    return any(not stage.idempotent for stage in pipeline.stages)


def _doubt(failure: Failure, detail: str) -> Failure:
    detail = f"{failure.detail}; {detail}; repeat it under the same key"
    return msgspec.structs.replace(failure, run_state=RunState.MAY_HAVE_RUN, detail=detail)
