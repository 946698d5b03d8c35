"""Memory of the body of a request to the product interface."""

import tracemalloc

from marigoldtrail.api.http import ApiRequest

BODY_BYTES = 128 * 1024
PART_BYTES = 2


async def test_body_in_small_parts_takes_its_size():
    """Guards against an object for each part of a body, which takes many times its size."""
    left = BODY_BYTES

    async def receive():
        nonlocal left
        left -= PART_BYTES
        part = bytes(bytearray(PART_BYTES))
        return {"type": "http.request", "body": part, "more_body": left > 0}

    req = ApiRequest(scope={"headers": []}, receive=receive, send=receive, params={})
    tracemalloc.start()
    body = await req.read_body(BODY_BYTES)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert isinstance(body, bytes) and len(body) == BODY_BYTES
    assert peak < 8 * BODY_BYTES
