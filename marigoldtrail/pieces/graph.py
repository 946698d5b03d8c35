"""Dependency graph of the stages of one request."""

from __future__ import annotations

from marigoldtrail.schema.generated.pieces import StageRequest

# A few results of this size fill the room of an upstream, and moving them between data centres
# costs time and money.
LARGE_RESULT_BYTES = 200_000


class StageGraph:
    """
    Progress of the stages of a request.

    Parameters
    ----------
    stages : list of StageRequest
        The stages; those without pieces count as done.

    Examples
    --------
    >>> first = StageRequest(service="a", count=1)
    >>> graph = StageGraph(stages=[first, StageRequest(service="b", count=1, after=[0])])
    >>> graph.take_startable()
    [0]
    >>> graph.finish(0, ["r0"])
    []
    >>> graph.take_startable(), graph.inputs_of(1)
    ([1], ['r0'])
    >>> graph.finish(1, ["r1"])
    ['r0']
    >>> graph.is_done(), graph.final_handles()
    (True, ['r1'])
    """

    __slots__ = ("stages", "_results", "_started", "_readers")

    def __init__(self, *, stages: list[StageRequest]) -> None:
        self.stages = stages
        self._results: dict[int, list[str]] = {
            number: [] for number, stage in enumerate(stages) if not stage.count
        }
        self._started = set(self._results)
        # For each stage, the stages with pieces that read its results.
        self._readers: dict[int, set[int]] = {number: set() for number in range(len(stages))}
        for number, stage in enumerate(stages):
            if stage.count:
                for other in stage.after:
                    self._readers[other].add(number)

    def take_startable(self) -> list[int]:
        """Return the stages that can start now; each is returned once."""
        startable = [
            number
            for number, stage in enumerate(self.stages)
            if number not in self._started
            and all(n in self._results for n in stage.after)
            and not self._should_delay(number)
        ]
        self._started.update(startable)
        return startable

    def _should_delay(self, number: int) -> bool:
        """
        Tell whether to delay a stage whose large results would take room while other stages run.

        Such a stage starts together with the last of the other stages.
        """
        if self.stages[number].result_bytes < LARGE_RESULT_BYTES or self._readers[number]:
            return False
        return any(
            readers and other not in self._results and other != number
            for other, readers in self._readers.items()
        )

    def inputs_of(self, number: int) -> list[str]:
        """Return the handles of the results that a stage reads."""
        return [handle for other in self.stages[number].after for handle in self._results[other]]

    def finish(self, number: int, handles: list[str]) -> list[str]:
        """
        Record the results of a stage.

        Parameters
        ----------
        number : int
            The stage.
        handles : list of str
            Handles of its results.

        Returns
        -------
        list of str
            Handles of results that no other stage will read.
        """
        self._results[number] = handles
        unneeded = []
        for other in set(self.stages[number].after):
            if all(reader in self._results for reader in self._readers[other]):
                unneeded += self._results[other]
        return unneeded

    def is_done(self) -> bool:
        """Tell whether all stages are done."""
        return len(self._results) == len(self.stages)

    def final_handles(self) -> list[str]:
        """Return the handles of the results that no other stage reads, in stage order."""
        return [
            handle
            for number in range(len(self.stages))
            if not self._readers[number]
            for handle in self._results.get(number, [])
        ]
