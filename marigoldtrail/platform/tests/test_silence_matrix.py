"""Requests of all kinds and phases beside silences and changes, in order and not by chance."""

import pytest

from marigoldtrail.platform.tests import silence_cells, silence_matrix

# Each pair of values of two axes occurs in it.
SELECTION = silence_cells.choose_pairwise()
SHORT = "short deadlines"
SEED = 51
# Plays that broke promises, with all requests, and some others with a part of them.
BROKEN_BEFORE = [
    silence_cells.Play("all upstreams", "2.6", "targets left out", -1.5, "free", SHORT),
    silence_cells.Play("engines", "2.6", "targets left out", -1.5, "full", SHORT),
    silence_cells.Play("plain services", "2.6", "key replaced", 0.0, "full", SHORT),
]
SAMPLE = silence_cells.choose_sample(SHORT, 36, seed=SEED)


@pytest.mark.parametrize(("play", "specs"), SELECTION)
def test_requests_that_were_read_are_answered(play, specs):
    """Guards against requests that a sound silence beside a change leaves without an answer."""
    result = silence_matrix.run_play(play, specs)
    assert not result.broken, result


@pytest.mark.parametrize(("play", "specs"), [*((play, None) for play in BROKEN_BEFORE), *SAMPLE])
def test_requests_with_short_deadlines_are_answered(play, specs):
    """Guards against requests without an answer on sites with few upstreams and little time."""
    result = silence_matrix.run_play(play, specs, seed=SEED)
    assert not result.broken, result
