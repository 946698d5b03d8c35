"""Identity of a request by its content, for requests that come again."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 16
# Parts of prompts are read from a header in which a colon ends each name, so none begins like this.
PREFIX = "r:"
STAGE_PREFIX = "s:"

# Identity and token count of each part of a prompt; the last part belongs to the request alone.
Prompt = tuple[tuple[str, int], ...]


def make_fingerprint(method: bytes, target: bytes, account: str, body: bytes) -> str:
    """
    Return a digest that two requests have in common only if they ask the same of an upstream.

    Parameters
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Path and query as received.
    account : str
        Client account; empty if there is none.
    body : bytes
        The whole body.

    Returns
    -------
    str
        The digest, of fixed length; the content cannot be read from it.

    Examples
    --------
    >>> make_fingerprint(b"POST", b"/a", "x", b"1") == make_fingerprint(b"POST", b"/a", "y", b"1")
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for item in (method, target, account.encode("utf-8", "surrogateescape")):
        digest.update(len(item).to_bytes(8, "big"))
        digest.update(item)
    digest.update(body)
    return PREFIX + digest.hexdigest()


def list_parts(prompt: Prompt, fingerprint: str) -> frozenset[str]:
    """
    Return the parts of a request that may be at fault when its upstream crashes.

    Parameters
    ----------
    prompt : tuple of (str, int)
        Identity and token count of each part of the prompt.
    fingerprint : str
        Fingerprint of the request.

    Returns
    -------
    frozenset of str
        The fingerprint, and all parts of the prompt but the last one, which belongs to the request
        alone.

    Examples
    --------
    >>> sorted(list_parts((("a", 5), ("b", 7), ("own", 3)), "r:1"))
    ['a', 'b', 'r:1']
    """
    return frozenset((fingerprint, *(part for part, _ in prompt[:-1])))


def make_stage_part(fingerprint: str, stage: int) -> str:
    """
    Return the part of a request that may be at fault when an upstream of one of its stages crashes.

    It differs from the fingerprint, since the result of a stage does not show that engines bear the
    request, nor the result of one stage that those of another stage do.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    stage : int
        Number of the stage.

    Returns
    -------
    str
        The part.

    Examples
    --------
    >>> make_stage_part("r:1f", 2)
    's:2:1f'
    """
    return f"{STAGE_PREFIX}{stage}:{fingerprint.removeprefix(PREFIX)}"


def is_fingerprint(part: str) -> bool:
    """
    Return whether a part of a request stands for all of it, or for one of its stages.

    Examples
    --------
    >>> is_fingerprint(make_fingerprint(b"GET", b"/a", "", b"")), is_fingerprint("subject")
    (True, False)
    """
    return part.startswith((PREFIX, STAGE_PREFIX))
