"""What an entry does while it has no requests."""

import collections

import trio

from marigoldtrail.platform.tests.test_site import start_serving_site

# A report is sent each 0.35 s, and takes seven steps of the reporter and the reader of its replies.
MAX_STEPS_PER_S = 25


class HostSteps(trio.abc.Instrument):
    """Counts the steps of the tasks of one host."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.by_task = collections.Counter()

    def before_task_step(self, task):
        nursery = task.parent_nursery
        while nursery is not None and nursery is not self.nursery:
            nursery = nursery.parent_task.parent_nursery
        if nursery is not None:
            self.by_task[task.name] += 1


async def test_idle_entry_wakes_for_little_but_its_reports(autojump_clock, nursery):
    """Guards against tasks of each entry that wake often although there is nothing to do."""
    site = await start_serving_site(nursery)
    await trio.sleep(5)
    steps = HostSteps(site.hosts[site.entries[0]].components.nursery)
    trio.lowlevel.add_instrument(steps)
    await trio.sleep(20)
    trio.lowlevel.remove_instrument(steps)
    assert steps.by_task["marigoldtrail.registry.reporter.HostReporter.run"] > 20
    assert steps.by_task.total() <= 20 * MAX_STEPS_PER_S, steps.by_task
