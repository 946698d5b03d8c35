"""Signals to the process of a node."""

import signal

import trio

from marigoldtrail.cli import serve


class SlowNode:
    """A node whose tasks end some time after its drain."""

    def __init__(self):
        self.drained = trio.Event()
        self.drains = 0
        self.has_ended = False

    async def drain(self):
        self.drains += 1
        await trio.sleep(1)
        self.drained.set()


async def test_signal_that_comes_again_does_not_cut_the_stop_of_a_node(autojump_clock, monkeypatch):
    """Guards against a second SIGTERM that ends the process before the last tasks have ended."""
    node = SlowNode()
    cut_by = []

    async def launch_node(cfg, task_status):
        task_status.started(node)
        await node.drained.wait()
        await trio.sleep(1)
        node.has_ended = True

    monkeypatch.setattr(serve, "launch_node", launch_node)
    settings = type("Settings", (), {"api_address": "", "peer_address": ""})()
    previous = signal.signal(signal.SIGTERM, lambda number, frame: cut_by.append(number))
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve.serve_node, settings)
            for pause_s in (0.1, 0.5, 1.0):
                await trio.sleep(pause_s)
                signal.raise_signal(signal.SIGTERM)
    finally:
        signal.signal(signal.SIGTERM, previous)
    assert (node.drains, node.has_ended, cut_by) == (1, True, [])
