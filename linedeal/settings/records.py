"""A cluster's settings as frozen records, independent of the file that they are read from."""

from dataclasses import dataclass, field

from linedeal import interface as api
from linedeal.settings.keys import Keys


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one controller: counts, bytes and seconds. The fields are keys of the block `limits`."""

    tick: float = 0.002  # minimum seconds between two engine steps
    held: int = 20000  # accepted jobs without an answer
    clients: int = 500  # links from clients
    client_bytes: int = 262144  # bytes queued for one client
    # seconds after which a client that waits for nothing and sends nothing is disconnected
    client_idle: float = 300.0
    hello: float = 5.0  # seconds within which a new link has to identify itself
    retry_after: float = 1.0  # seconds; sent to a client whose job is turned away
    link_queue: int = 4096  # frames queued for one host
    connect: float = 1.0  # seconds for a link to be established
    link_silent: float = 4.0  # seconds after which a link whose host does not reply counts as broken
    watch: float = 2.0  # seconds for discovery to answer a watch
    probe: float = 1.0  # seconds for the reply to a probe
    work: int = 65536  # bytes of the work that a host runs for a job
    hold: float = 604800.0  # maximum seconds for which an owner may hold a job
    leave: float = 10.0  # seconds that a controller waits for unanswered jobs when it shuts down
    welcome_pace: float = 20.0  # hosts per second that are asked for their launches after a start


@dataclass(frozen=True, slots=True)
class Rules:
    """Tolerances of the audit's rules and of drains. The fields are keys of the block `rules`."""

    answer_slack: float = 0.5  # seconds after a job's expiry during which its answer still counts as in time
    drain_grace: float = 1.0  # seconds from learning of a drain to the last launch sent


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """Size and durability of the job journal. The fields are keys of the block `journal`."""

    power: bool = False  # each commit survives a power failure, not only the death of the process
    answers_kept: float = 600.0  # seconds for which an answer is kept for a session that has not confirmed it
    most: int = 1 << 30  # bytes; above nine tenths of it jobs of sessions are turned away
    spare: int = 1 << 22  # bytes reserved on the disk, released when it is full


@dataclass(frozen=True, slots=True)
class CouncilSettings:
    """The council: the controllers that store the state of the fleet's duties."""

    id: str = ""  # of the council: two councils that meet by a wrong address refuse each other because of it
    key: str = ""  # hash of the key shown by members, controllers and operators; empty: no key is needed
    lease: float = 6.0  # seconds for which a duty's owner holds it without renewal
    drift: float = 0.05  # share by which a machine's clock may run faster or slower
    # address on which each member listens for the council, by the member's name
    places: dict[str, tuple[str, int]] = field(default_factory=dict)

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the controllers that are members."""
        return tuple(self.places)


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a campaign may take out of service at once, and how long it waits.

    A campaign's own bounds may be tighter. Shares are from 0 to 1, times in seconds. The fields are keys of
    the block `campaign`.
    """

    most: int = 2  # hosts out of service at once
    cells: int = 1  # cells with a host out of service at once
    room: float = 0.25  # share of each kind's hosts out of service at once
    # for a drain; redoable and labelled jobs still running then are lost with their host
    patience: float = 600.0
    warm: float = 10.0  # age at which a replacement counts as serving
    away: float = 120.0  # for a host that is absent, before the campaign continues without it
    # share of launches refused, or of jobs still waiting, at which the campaign pauses automatically
    strain: float = 0.3

    def within(self, others: "Bounds") -> "Bounds":
        """The tighter bound of each pair.

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
    """Campaigns: their bounds and the operators' tool that replaces hosts."""

    bounds: Bounds = Bounds()
    tool: tuple[str, int] | None = None  # address of the tool; None: there are no campaigns
    news: float = 15.0  # age in seconds above which host list and census are too old to start on another host


@dataclass(frozen=True, slots=True)
class Cluster:
    """All settings of a cluster."""

    settings: api.Settings
    limits: Limits
    rules: Rules
    journal: JournalSettings
    keys: Keys = Keys()
    council: CouncilSettings = CouncilSettings()
    campaign: CampaignSettings = CampaignSettings()
