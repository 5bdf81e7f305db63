"""What the engine itself keeps of each host: its link, its boot, and the launches there."""

from dataclasses import dataclass, field, replace

from linedeal.engine.events import LaunchId, ListedHost
from linedeal.engine.launches import Launch
from linedeal.interface import HostEntry, Mode


@dataclass(slots=True, eq=False)
class HostRecord:
    listed: ListedHost
    booted: float  # on this controller's clock, as first reckoned for this boot
    asked: bool = False  # it has told, in this life, what it holds
    tries: int = 0  # links that failed or broke since one stood
    link: int = 0  # of the link that stands; 0: none
    boot: int = 0  # of the host at its other end
    launches: dict[LaunchId, Launch] = field(default_factory=dict)


class Fleet:
    """The hosts that a list has named, by id."""

    def __init__(self):
        self.hosts: dict[str, HostRecord] = {}
        self.gone: set[str] = (
            set()
        )  # of them; looked at in each turn, where all would cost more than the turn

    def hear(self, now: float, listed: ListedHost) -> HostEntry:
        """Takes one entry of a list; returns it as the module wants it.

        Lists tell an age, which is put on this clock once for each boot: reckoned anew from every list it would
        wander by the list's delay, and a start that wanders forward reads as another start.
        """
        record = self.hosts.get(listed.id)
        if record is None:
            record = self.hosts[listed.id] = HostRecord(listed, now - listed.age)
        elif listed.boot > record.listed.boot:
            record.booted = max(now - listed.age, record.booted)
        elif listed.boot < record.listed.boot:  # an old line that overtook a newer one tells nothing of boots
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

    def missing(self, named: set[str]) -> list[HostRecord]:
        """Those that a whole list no longer names, marked as gone."""
        gone = [record for record in self.hosts.values() if record.listed.id not in named]
        for record in gone:
            record.listed = replace(record.listed, mode=Mode.GONE)
            self.gone.add(record.listed.id)
        return gone

    def to_drop(self) -> list[str]:
        """Gone, and nothing of ours is there any more."""
        return sorted(host for host in self.gone if not self.hosts[host].launches)

    def drop(self, host: str) -> None:
        del self.hosts[host]
        self.gone.discard(host)
