"""The ids of set-ups that were taken back, by a release or with their connection. Free of I/O.

A host may have accepted such a job before it read that the launch was cancelled. The protocol gives each
set-up a new id; one that comes again must not run a second time.
"""

from collections import OrderedDict
from collections.abc import Callable

RETENTION = 60.0  # seconds for which an id is remembered
MAX_REMEMBERED = 20_000  # ids; beyond it the oldest are forgotten


class WithdrawnTasks:
    """Ids, each with the time at which it was taken back."""

    def __init__(self, clock: Callable[[], float]):
        """`clock`: returns the time in seconds."""
        self.clock = clock
        self.withdrawn_at: OrderedDict[str, float] = OrderedDict()  # the oldest first

    def add(self, task: str) -> None:
        """Remembers an id, and forgets those that are too old or too many."""
        now = self.clock()
        self.withdrawn_at[task] = now
        self.withdrawn_at.move_to_end(task)
        while len(self.withdrawn_at) > MAX_REMEMBERED or self.is_outdated(next(iter(self.withdrawn_at)), now):
            self.withdrawn_at.popitem(last=False)

    def is_outdated(self, task: str, now: float) -> bool:
        """Whether an id was taken back too long ago to be remembered."""
        return now - self.withdrawn_at[task] > RETENTION

    def __contains__(self, task: str) -> bool:
        """Whether an id was taken back lately."""
        return task in self.withdrawn_at and not self.is_outdated(task, self.clock())
