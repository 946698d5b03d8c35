"""Statements of upstreams on their limits, merged from all hosts."""

from marigoldtrail.ratelimits.book import MIN_CHANGE, MIN_REQUESTS_PER_S, LimitBook


def answer(book, limit, *, sent_at, now, upstream="u", born_ms=1):
    book.record_answer(upstream, born_ms, limit, sent_at=sent_at, now=now)


def test_answer_without_limit_ends_it_only_if_the_request_was_sent_later():
    """Guards against a limit that ends with a slow answer which had begun before it was named."""
    book = LimitBook()
    answer(book, None, sent_at=0.0, now=0.5)
    assert book.revision == 0
    answer(book, 2.0, sent_at=1.0, now=2.0)
    answer(book, None, sent_at=1.5, now=9.0)
    assert book.get_limit("u") == 2.0 and book.count == 1
    answer(book, None, sent_at=2.5, now=3.0)
    assert book.get_limit("u") is None and book.count == 0


def test_latest_statement_wins_on_all_hosts():
    """Guards against hosts that disagree on a limit for ever."""
    leader, host = LimitBook(), LimitBook()
    answer(leader, 2.0, sent_at=1.0, now=5.0)
    answer(host, 4.0, sent_at=1.0, now=2.0)
    answer(host, None, sent_at=3.0, now=4.0)
    revision = leader.revision
    leader.merge(host.list_limits(6.0), 6.0)
    assert leader.get_limit("u") == 2.0
    # The host has to be corrected, so that it must be told.
    assert leader.revision > revision
    host.merge(leader.list_limits(7.0), 7.0)
    assert host.get_limit("u") == 2.0
    answer(host, None, sent_at=8.0, now=8.5)
    leader.merge(host.list_limits(9.0), 9.0)
    assert leader.get_limit("u") is None


def test_limit_ends_with_the_process_that_named_it():
    """Guards against the limit of a replaced upstream that holds for its successor."""
    book = LimitBook()
    answer(book, 2.0, sent_at=0.0, now=1.0, born_ms=1)
    book.retain({"u": 1})
    assert book.get_limit("u") == 2.0
    book.retain({"u": 2})
    assert book.get_limit("u") is None
    answer(book, 2.0, sent_at=2.0, now=3.0, born_ms=2)
    book.retain({})
    assert book.get_limit("u") is None


def test_small_changes_are_not_sent_to_all_hosts():
    """Guards against a round of messages to all hosts with each answer."""
    book = LimitBook()
    for number in range(100):
        answer(book, 10.0 + (number % 2) * 10.0 * MIN_CHANGE / 2, sent_at=number, now=number + 0.5)
    assert book.revision == 1
    answer(book, 5.0, sent_at=200.0, now=200.5)
    assert book.revision == 2 and book.get_limit("u") == 5.0


def test_upstream_that_takes_nothing_is_still_asked_now_and_then():
    """Guards against a limit of 0 whose end no host would ever see."""
    book = LimitBook()
    answer(book, 0.0, sent_at=0.0, now=1.0)
    assert book.get_limit("u") == MIN_REQUESTS_PER_S


def test_hosts_that_saw_slightly_different_limits_come_to_rest():
    """Guards against hosts that correct each other with every report."""
    leader, host = LimitBook(), LimitBook()
    answer(host, 2.0 + MIN_CHANGE, sent_at=0.0, now=1.0)
    answer(leader, 2.0, sent_at=0.0, now=2.0)
    leader.merge(host.list_limits(3.0), 3.0)
    revision = leader.revision
    for number in range(4, 9):
        host.merge(leader.list_limits(number), number)
        leader.merge(host.list_limits(number + 0.5), number + 0.5)
    assert leader.revision == revision
