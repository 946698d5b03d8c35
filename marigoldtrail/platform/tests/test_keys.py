"""API keys of requests, also when a configuration takes the last ones away."""

import trio

from marigoldtrail.platform.standin import make_route
from marigoldtrail.platform.tests.standin import KEY, config
from marigoldtrail.platform.tests.test_site import start_serving_site

ROUTES = [
    make_route("order", "/order/", "unsafe", "desk"),
    make_route("open", "/open/", "unsafe", "desk", public=True),
]


async def send(site, path, key):
    """Send a request to each entry; return the statuses and the headers that upstreams got."""
    site.seen.clear()
    statuses = [
        (await site.send_request(path, entry=n, key=key, request_id=f"id-{n}", body=b"b"))[0]
        for n in range(2)
    ]
    return statuses, [request.headers for _, request in site.seen if request.path == path]


async def test_no_key_is_valid_after_the_last_account_was_taken_away(autojump_clock, nursery):
    """Guards against requests that run without a valid key, and keys that upstreams are shown."""
    site = await start_serving_site(nursery)
    assert await site.put_config(config(2, routes=ROUTES)) == 200
    await trio.sleep(0.5)
    assert (await send(site, "/order/1", KEY))[0] == [200, 200]
    assert await site.put_config(config(3, routes=ROUTES, tenants=[])) == 200
    await trio.sleep(0.5)
    for key in (KEY, "never", ""):
        assert await send(site, "/order/1", key) == ([401, 401], [])
        statuses, shown = await send(site, "/open/1", key)
        assert statuses == [200, 200]
        assert not any("authorization" in headers or "x-tenant" in headers for headers in shown)


async def test_no_key_is_needed_without_a_list_of_accounts(autojump_clock, nursery):
    """Guards against refusing all requests of a configuration that has no accounts."""
    site = await start_serving_site(nursery)
    assert await site.put_config(config(2, routes=ROUTES, tenants=None)) == 200
    await trio.sleep(0.5)
    for key in (KEY, ""):
        assert (await send(site, "/order/1", key))[0] == [200, 200]
    assert await site.put_config(config(3, routes=ROUTES)) == 200
    await trio.sleep(0.5)
    assert (await send(site, "/order/1", ""))[0] == [401, 401]
