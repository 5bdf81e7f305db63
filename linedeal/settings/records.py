"""What a controller is told of its cluster, as frozen records; who reads them from which file is another matter."""

from dataclasses import dataclass, field

from linedeal import interface as api
from linedeal.settings.keys import Keys


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one controller: counts, bytes and seconds."""

    tick: float = 0.002  # seconds between two turns of the engine, at least
    held: int = 20000  # jobs taken and not yet answered
    clients: int = 500  # links from clients
    client_bytes: int = 262144  # waiting to be read by one client
    client_idle: float = 300.0  # seconds without a frame from a client that waits for nothing
    hello: float = 5.0  # seconds within which a new link has to say who it is
    retry_after: float = 1.0  # told to who is turned away
    link_queue: int = 4096  # frames waiting for one host
    connect: float = 1.0  # seconds for a link to stand
    link_silent: float = 4.0  # seconds after which a link whose host answers nothing counts as broken
    watch: float = 2.0  # seconds for discovery to answer a watch
    probe: float = 1.0  # seconds for a probe's answer
    work: int = 65536  # bytes of what a host is to run for a job
    hold: float = 604800.0  # seconds for which an owner may hold a job
    leave: float = 10.0  # seconds that a controller told to end waits for the jobs it holds
    welcome_pace: float = 20.0  # hosts a second asked, after a start, what they hold


@dataclass(frozen=True, slots=True)
class Rules:
    answer_slack: float = 0.5  # seconds after a job's expiry within which its answer counts as in time
    drain_grace: float = 1.0  # seconds from being told of a drain to the last send


@dataclass(frozen=True, slots=True)
class JournalSettings:
    power: bool = False  # each commit outlives a loss of power, not only the death of the process
    answers_kept: float = 600.0  # seconds for which an answer is kept for a session that has not confirmed it
    most: int = 1 << 30  # bytes; past nine tenths of it sessions' jobs are turned away
    spare: int = 1 << 22  # bytes set aside on the disk, given up when it is full


@dataclass(frozen=True, slots=True)
class CouncilSettings:
    """Which controllers keep the store for work on behalf of the fleet."""

    id: str = ""  # of the council: two that meet by a wrong address refuse each other by it
    key: str = ""  # the hash of what members, controllers and operators show; empty: no key is needed
    lease: float = 6.0  # seconds for which a duty's owner has it without renewing
    drift: float = 0.05  # by which a machine's clock may run faster or slower, as a share
    places: dict[str, tuple[str, int]] = field(
        default_factory=dict
    )  # members, and where each one's council listens

    @property
    def members(self) -> tuple[str, ...]:
        return tuple(self.places)


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may be out of service at once for a release, and how long it waits. A campaign's own may be tighter.

    Shares from 0 to 1, times in seconds.
    """

    most: int = 2  # hosts out at once
    cells: int = 1  # cells with a host out at once
    room: float = 0.25  # of each kind's hosts out at once
    patience: float = (
        600.0  # for a drain; redoable and labelled jobs that are left then are lost to their host
    )
    warm: float = 10.0  # age at which a successor counts as serving
    away: float = 120.0  # for a host that is not there, before the campaign goes on without it
    strain: float = (
        0.3  # share of launches turned away, or of jobs that still wait, at which it pauses by itself
    )

    def within(self, others: "Bounds") -> "Bounds":
        """The tighter of each.

        >>> Bounds(most=5, strain=0.2).within(Bounds(most=3)).most
        3
        """
        return Bounds(
            min(self.most, others.most),
            min(self.cells, others.cells),
            min(self.room, others.room),
            max(self.patience, others.patience),
            max(self.warm, others.warm),
            max(self.away, others.away),
            min(self.strain, others.strain),
        )


@dataclass(frozen=True, slots=True)
class CampaignSettings:
    bounds: Bounds = Bounds()
    tool: tuple[str, int] | None = (
        None  # where the operators' tool that replaces hosts listens; None: no campaigns
    )
    news: float = 15.0  # seconds after which list or census are too old to begin a host on


@dataclass(frozen=True, slots=True)
class Cluster:
    settings: api.Settings
    limits: Limits
    rules: Rules
    journal: JournalSettings
    keys: Keys = Keys()
    council: CouncilSettings = CouncilSettings()
    campaign: CampaignSettings = CampaignSettings()
