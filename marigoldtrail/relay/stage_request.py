"""Request to the schedulers for the stages of a caller's request."""

from __future__ import annotations

from marigoldtrail.relay.exchange import Exchange
from marigoldtrail.schema.generated.pieces import PromptPart, RunStages, StageRequest


def make_stage_request(
    exchange: Exchange, *, excluded: set[str], suspects: set[str], data_centre: str
) -> RunStages:
    """
    Return the message that asks for the stages of a request and for an engine.

    Parameters
    ----------
    exchange : Exchange
        The request.
    excluded, suspects : set of str
        Engines that must not be chosen, and engines that this host recently failed to reach.
    data_centre : str
        Data centre of this host.

    Returns
    -------
    RunStages
        The message; the remaining times are filled in for each attempt.
    """
    info = exchange.info
    stages = exchange.route.stages
    counts = [*info.piece_counts, *([0] * len(stages))]
    return RunStages(
        request_id=info.request_id,
        account=exchange.account_name,
        stages=[
            StageRequest(
                service=stage.service,
                count=count,
                after=list(stage.after),
                result_bytes=stage.result_bytes,
            )
            for stage, count in zip(stages, counts, strict=False)
        ],
        key=info.piece_key,
        left_ms=0,
        priority=exchange.backlog_rank,
        wait_share=exchange.wait_share,
        yield_ms=round(exchange.yield_s * 1000),
        engine_service=exchange.service.name if exchange.service.engine is not None else "",
        prompt=[PromptPart(part=part, tokens=tokens) for part, tokens in info.prefix],
        prompt_tokens=info.prompt_tokens,
        output_tokens=info.output_tokens,
        excluded=sorted(excluded),
        suspects=sorted(suspects),
        data_centre=data_centre,
        keeps_results=exchange.may_run_again(),
        fingerprint=exchange.fingerprint if exchange.has_pieces else "",
        is_trial=exchange.has_trial_grant,
    )
