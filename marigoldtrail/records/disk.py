"""The part of `marigoldtrail.storage.Disk` that segment files use."""

from __future__ import annotations

from typing import Protocol

from marigoldtrail.errors import Failure


class Disk(Protocol):
    """Files by relative name; every method returns a `Failure` when the disk refuses."""

    async def append(self, name: str, data: bytes) -> None | Failure: ...  # noqa: D102

    async def sync(self, name: str) -> None | Failure: ...  # noqa: D102

    async def read(
        self, name: str, *, offset: int = 0, length: int | None = None
    ) -> bytes | Failure: ...  # noqa: D102

    async def write_atomic(self, name: str, data: bytes) -> None | Failure: ...  # noqa: D102

    async def list_names(self, prefix: str = "") -> list[str] | Failure: ...  # noqa: D102

    async def remove(self, name: str) -> None | Failure: ...  # noqa: D102

    async def truncate(self, name: str, size: int) -> None | Failure: ...  # noqa: D102

    async def size(self, name: str) -> int | Failure: ...  # noqa: D102
