"""Requests of all kinds and phases beside silences and changes, in order and not by chance."""

import pytest

from marigoldtrail.platform.tests import silence_cells, silence_matrix

# Each pair of values of two axes occurs in it.
SELECTION = silence_cells.choose_pairwise()


@pytest.mark.parametrize(("play", "specs"), SELECTION)
def test_requests_that_were_read_are_answered(play, specs):
    """Guards against requests that a sound silence beside a change leaves without an answer."""
    result = silence_matrix.run_play(play, specs)
    assert not result.broken, result
