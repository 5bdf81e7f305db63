"""What the engine records of each host: its list entry, its link, its boot, and the launches there."""

from dataclasses import dataclass, field, replace

from linedeal.engine.events import LaunchId, ListedHost
from linedeal.engine.launches import Launch
from linedeal.interface import HostEntry, Mode


@dataclass(slots=True, eq=False)
class HostRecord:
    """One host that a list has named."""

    listed: ListedHost
    booted: float  # on this controller's clock, as first computed for this boot
    inventory_received: bool = False  # it has reported, to this incarnation, what it holds
    attempts: int = 0  # links that failed or broke since the last that was up
    link: int = 0  # number of the link that is up; 0: none
    boot: int = 0  # of the host at the other end of that link
    launches: dict[LaunchId, Launch] = field(default_factory=dict)


class Fleet:
    """The hosts that a list has named, by id."""

    def __init__(self):
        """Starts with no host known."""
        self.hosts: dict[str, HostRecord] = {}
        # ids of those that are gone: checked in each step, where a search through all hosts would cost more
        # than the step
        self.gone: set[str] = set()

    def update(self, now: float, listed: ListedHost) -> HostEntry:
        """Applies one entry of a list; returns it in the form that the decision module expects.

        Lists state a host's age, which is converted to this controller's clock once for each boot. Computed
        from every list, the start would drift by the list's delay, and one that drifts forward reads as
        another start.
        """
        record = self.hosts.get(listed.id)
        if record is None:
            record = self.hosts[listed.id] = HostRecord(listed, now - listed.age)
        elif listed.boot > record.listed.boot:
            record.booted = max(now - listed.age, record.booted)
        elif listed.boot < record.listed.boot:
            # an old entry that arrived after a newer one: the newer boot and its age are kept
            listed = replace(listed, boot=record.listed.boot, age=record.listed.age)
        record.listed = listed
        (self.gone.add if listed.mode is Mode.GONE else self.gone.discard)(listed.id)
        return HostEntry(
            listed.id,
            listed.kind,
            listed.zone,
            listed.cell,
            listed.mode,
            record.booted,
            listed.free_cores,
            listed.free_memory,
        )

    def mark_missing(self, named: set[str]) -> list[HostRecord]:
        """Marks the hosts that a whole list no longer names as gone; returns them."""
        missing = [record for record in self.hosts.values() if record.listed.id not in named]
        for record in missing:
            record.listed = replace(record.listed, mode=Mode.GONE)
            self.gone.add(record.listed.id)
        return missing

    def removable(self) -> list[str]:
        """Hosts that are gone and no longer have any of this controller's launches."""
        return sorted(host for host in self.gone if not self.hosts[host].launches)

    def remove(self, host: str) -> None:
        """Forgets a host."""
        del self.hosts[host]
        self.gone.discard(host)
