"""The lines of one owner that have been read and are not handled yet. Free of I/O."""

from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from linedeal.platform.owner_codec import Line, is_job_request, memory_bytes, names_host
from linedeal.platform.request_budget import RequestBudget


@dataclass(frozen=True, slots=True)
class QueuedLine:
    """A line, the loop time at which it arrived, and the bytes that it is counted with."""

    line: Line
    arrived_at: float
    size: int


class LineQueue:
    """Lines in the order of their arrival, counted in the budget."""

    def __init__(self, connection: int, budget: RequestBudget):
        """`connection`: under whose number the lines are counted."""
        self.connection, self.budget = connection, budget
        self.queued: OrderedDict[int, QueuedLine] = OrderedDict()
        self.appended = 0
        self.job_requests: dict[str, list[int]] = {}  # places in `queued`, by task
        self.hand_overs: Counter[str] = Counter()  # of running jobs, by task

    def __len__(self) -> int:
        """How many lines are queued."""
        return len(self.queued)

    def has_room(self, line: Line) -> bool:
        """Whether the budget admits the line."""
        return self.budget.admits(self.connection, memory_bytes(line))

    def requests_job(self, task: str) -> bool:
        """Whether a set-up for a job to be placed is queued under this id."""
        return task in self.job_requests

    def hands_over(self, task: str) -> bool:
        """Whether a set-up that hands over a running job is queued under this id."""
        return self.hand_overs[task] > 0

    def append(self, line: Line, arrived_at: float) -> None:
        """Adds a line at the end, whether or not there is room."""
        self.appended += 1
        self.queued[self.appended] = queued = QueuedLine(line, arrived_at, memory_bytes(line))
        self.budget.add(self.connection, queued.size)
        if is_job_request(line):
            self.job_requests.setdefault(line.id, []).append(self.appended)
        elif names_host(line):
            self.hand_overs[line.id] += 1

    def popleft(self) -> QueuedLine:
        """Removes and returns the first line. Raises KeyError if there is none."""
        number, queued = self.queued.popitem(last=False)
        self.budget.add(self.connection, -queued.size)
        self.forget_task(number, queued.line)
        return queued

    def forget_task(self, number: int, line: Line) -> None:
        """Forgets under which id a line was queued at this place."""
        if is_job_request(line):
            numbers = self.job_requests[line.id]
            numbers.remove(number)
            if not numbers:
                del self.job_requests[line.id]
        elif names_host(line):
            self.hand_overs[line.id] -= 1
            if not self.hand_overs[line.id]:
                del self.hand_overs[line.id]

    def remove_job_requests(self, task: str) -> bool:
        """Removes the set-ups for jobs to be placed under this id; whether there were any."""
        numbers = self.job_requests.pop(task, [])
        for number in numbers:
            self.budget.add(self.connection, -self.queued.pop(number).size)
        return bool(numbers)

    def remove_all_job_requests(self) -> list[Line]:
        """Removes and returns all set-ups for jobs to be placed."""
        numbers = sorted(number for places in self.job_requests.values() for number in places)
        self.job_requests.clear()
        removed = [self.queued.pop(number) for number in numbers]
        self.budget.add(self.connection, -sum(queued.size for queued in removed))
        return [queued.line for queued in removed]

    def drain(self) -> Iterator[QueuedLine]:
        """Removes all lines, and yields each."""
        while self.queued:
            yield self.popleft()
