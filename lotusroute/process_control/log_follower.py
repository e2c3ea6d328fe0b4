"""Reads the log of a process on a background thread and lets other threads wait for its lines."""

import contextlib
import threading
import time
from collections.abc import Callable
from typing import IO, Generic, TypeVar

Item = TypeVar("Item")
Result = TypeVar("Result")


class WaitableList(Generic[Item]):
    """A list that one thread appends to while other threads read it or wait for its items.

    Items are never removed: the size of the list is bounded only by the duration of a run.
    """

    def __init__(self) -> None:
        self._items: list[Item] = []
        self._changed = threading.Condition()

    def __len__(self) -> int:
        return len(self._items)

    def append(self, item: Item) -> None:
        """Append an item and wake all waiting threads."""
        with self._changed:
            self._items.append(item)
            self._changed.notify_all()

    def copy(self) -> list[Item]:
        """Return a copy of the current items."""
        with self._changed:
            return list(self._items)

    def wait_for(self, condition: Callable[[list[Item]], Result | None], timeout: float) -> Result | None:
        """Wait until `condition`, called with all items, returns a true value, and return that value.

        Returns None after `timeout` seconds. `condition` must not change the items.
        """
        deadline = time.monotonic() + timeout
        with self._changed:
            while not (result := condition(self._items)):
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return None
                self._changed.wait(remaining)
            return result


def follow_lines(stream: IO[str], on_line: Callable[[str], object]) -> threading.Thread:
    """Call `on_line` with each line of a stream, on a new thread that ends at the end of the stream."""
    thread = threading.Thread(target=_read_lines, args=(stream, on_line), daemon=True)
    thread.start()
    return thread


def _read_lines(stream: IO[str], on_line: Callable[[str], object]) -> None:
    with contextlib.suppress(ValueError):  # raised if another thread closes the stream
        for line in stream:
            on_line(line)
