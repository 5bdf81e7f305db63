"""Day files: the hosts, controllers and load of a test run, and the faults injected into it.

docs/days.md describes the format.
"""

from dataclasses import dataclass, fields, replace
from pathlib import Path
from random import Random

from linedeal.settings.cluster import Cluster, ConfigError, read_cluster
from linedeal.settings.records import Bounds
from linedeal.standin.model import HostBehavior


class DayFileError(Exception):
    """A day file cannot be used. `lines` holds all its errors, each as `file: line N: error`."""

    def __init__(self, lines: list[str]):
        """The message is all of `lines`, one below the other."""
        super().__init__("\n".join(lines))
        self.lines = lines


@dataclass(frozen=True, slots=True)
class HostSpec:
    """A stand-in host of a day. `cell`: number of its group of hosts that may fail together, such as a rack.

    The field names are keys of the file that a multi-host process reads.
    """

    name: str
    kind: str
    zone: str
    cell: int
    habits: HostBehavior


@dataclass(frozen=True, slots=True)
class ControllerSpec:
    """A controller of a day."""

    name: str
    zone: str
    clock: float = 1.0  # rate: seconds by which its clock advances per real second


@dataclass(frozen=True, slots=True)
class Stream:
    """The load of one offering: a Poisson stream of jobs. Sizes are uniformly distributed."""

    offering: str
    rate: float  # jobs a second
    cores: tuple[float, float]  # minimum and maximum
    memory: tuple[float, float]  # minimum and maximum, in the unit of the cluster file
    services: int  # number of services that the jobs are spread over
    customers: tuple[str, ...]
    sessions: bool = False  # jobs are submitted in sessions, which survive lost links and controller restarts


@dataclass(frozen=True, slots=True)
class Order:
    """A fault or command that is applied at `at` and, if `until` is set, reverted at `until`.

    Both are in seconds from the start of the day. `who`: the names of the affected processes and hosts.
    """

    at: float
    until: float | None
    verb: str
    who: tuple[str, ...]
    args: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Day:
    """A checked day file with its cluster file. `length` is the duration of the load, in seconds."""

    name: str
    cluster_path: str
    cluster: Cluster
    seed: int
    length: float
    controllers: tuple[ControllerSpec, ...]
    hosts: tuple[HostSpec, ...]
    streams: tuple[Stream, ...]
    orders: tuple[Order, ...]


# By verb: the type of its targets (empty: none); the number of its arguments (-1: checked separately); and
# whether the order has a duration, `for SECONDS`.
VERBS = {
    "kill": ("any", 0, "may"),
    "stop": ("any", 0, "must"),
    "mute": ("host", 0, "must"),
    "slow": ("host", 1, "must"),
    "errors": ("host", 1, "must"),
    "refuse": ("host", 1, "must"),
    "pace": ("host", 1, "must"),
    "flush": ("host", 0, "no"),
    "drain": ("host", 0, "may"),
    "deploy": ("host", 1, "no"),
    "cut": ("any", 2, "must"),
    "grow": ("", 3, "no"),
    "discovery": ("", -1, "may"),
    "burst": ("", 1, "must"),
    "surge": ("", 2, "must"),
    "heavy": ("", 2, "must"),
    "campaign": ("", -1, "no"),
    "hand": ("", 1, "no"),
    "loss": ("", 1, "must"),
    "double": ("", 1, "must"),
    "favour": ("controller", 1, "must"),
    "hot": ("", 2, "must"),
    "delay": ("", 1, "must"),
    "jump": ("controller", 1, "no"),
}
CAMPAIGN_CHANGES = ("pause", "resume", "abort")
DUTIES = ("census", "campaign")


def read_day(path: str | Path) -> Day:
    """Reads a day file and its cluster file. Raises DayFileError with all errors of both."""
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise DayFileError([f"{path}: cannot be read: {error.strerror}"]) from None
    return parse_day(text, str(path), path.parent)


def parse_day(text: str, name: str, base: Path = Path(".")) -> Day:
    """Parses the text of a day file. `name` is for messages; the cluster file's path is relative to `base`.

    Raises DayFileError with all errors of both files.
    """
    return Parser(text, name, base).parse()


class Parser:
    """Parses one day file and collects its errors, to report all of them together."""

    def __init__(self, text: str, name: str, base: Path):
        """Takes the same arguments as `parse_day`."""
        self.lines, self.name, self.base = text.splitlines(), name, base
        self.errors: list[str] = []
        self.seed, self.length, self.cluster_path = 1, 60.0, ""
        self.behavior: dict[str, object] = {}
        self.controllers: list[ControllerSpec] = []
        self.hosts: list[HostSpec] = []
        self.streams: list[Stream] = []
        self.orders: list[tuple[int, list[str]]] = []

    def parse(self) -> Day:
        """Returns the day; raises DayFileError if there was any error."""
        for number, line in enumerate(self.lines, 1):
            words = line.split("#")[0].split()
            if words:
                # The lambda is called immediately, before the loop variables change.
                self.collect_errors(number, lambda: self.parse_line(number, words))  # noqa: B023
        cluster = None
        try:
            if not self.cluster_path:
                self.errors.append(f"{self.name}: no line names a cluster")
            else:
                cluster = read_cluster(self.base / self.cluster_path)
        except ConfigError as error:
            self.errors += error.lines
        orders = []
        for number, words in self.orders:
            self.collect_errors(number, lambda: orders.append(self.parse_order(words)))  # noqa: B023
        for what, found in (("controllers", self.controllers), ("hosts", self.hosts), ("load", self.streams)):
            if not found:
                self.errors.append(f"{self.name}: no line for {what}")
        if cluster is not None:
            self.check_cluster(cluster)
        if self.errors:
            raise DayFileError(self.errors)
        return Day(
            Path(self.name).stem,
            str(self.base / self.cluster_path),
            cluster,
            self.seed,
            self.length,
            tuple(self.controllers),
            tuple(self.hosts),
            tuple(self.streams),
            tuple(sorted(orders, key=lambda order: order.at)),
        )

    def collect_errors(self, number, call) -> None:
        """Calls `call` and turns its ValueError or IndexError into an error of that line."""
        try:
            call()
        except (ValueError, IndexError) as error:
            message = "too few words" if isinstance(error, IndexError) else str(error)
            self.errors.append(f"{self.name}: line {number}: {message}")

    def parse_line(self, number, words) -> None:
        """Handles one line. `at` lines are parsed at the end, as they may name hosts of later lines.

        Raises ValueError, IndexError.
        """
        name, rest = words[0], words[1:]
        if name == "cluster":
            self.cluster_path = rest[0]
        elif name == "seed":
            self.seed = int(rest[0])
        elif name == "length":
            self.length = float(rest[0])
        elif name == "habit":
            self.behavior.update(parse_habit(word) for word in rest)
        elif name == "controllers":
            zones = words_after(rest, "zones") or ["a"]
            self.controllers += [
                ControllerSpec(f"c{i + 1}", zones[i % len(zones)]) for i in range(int(rest[0]))
            ]
        elif name == "hosts":
            zones, overrides = (
                words_after(rest, "zones") or ["a"],
                dict(parse_habit(word) for word in rest if "=" in word),
            )
            cell = int((words_after(rest, "cells") or ["4"])[0])
            for _ in range(int(rest[0])):
                i = len(self.hosts)
                self.hosts.append(
                    HostSpec(
                        f"h{i + 1:02}",
                        words_after(rest, "kind")[0],
                        zones[i % len(zones)],
                        i // cell,
                        HostBehavior(**{**self.behavior, **overrides}),
                    )
                )
        elif name == "clock":
            rate = float(rest[1])
            if not 0.5 <= rate <= 2.0:
                raise ValueError(f"a clock rate of {rate:g} is not within 0.5 to 2")
            selected = self.resolve_names(rest[0])
            self.controllers = [
                replace(spec, clock=rate) if spec.name in selected else spec for spec in self.controllers
            ]
        elif name == "load":
            sessions = "sessions" in rest[2:]
            options = dict(word.split("=") for word in rest[2:] if word != "sessions")
            self.streams.append(
                Stream(
                    rest[0],
                    float(rest[1]),
                    parse_range(options.pop("cores", "1-2")),
                    parse_range(options.pop("memory", "1-4")),
                    int(options.pop("services", "4")),
                    tuple(options.pop("customers", "").split(",")),
                    sessions,
                )
            )
            if options:
                raise ValueError(f"unknown figure {next(iter(options))}")
        elif name == "at":
            self.orders.append((number, words))
        else:
            raise ValueError(f"unknown word {name}")

    def parse_order(self, words) -> Order:
        """Parses `at TIME VERB [WHO] [ARGUMENTS] [for SECONDS]`. Raises ValueError, IndexError."""
        at, verb, rest = float(words[1]), words[2], words[3:]
        if verb not in VERBS:
            raise ValueError(f"unknown verb {verb}")
        target, argument_count, duration = VERBS[verb]
        until = None
        if len(rest) > 1 and rest[-2] == "for":
            until, rest = at + float(rest[-1]), rest[:-2]
        if duration == "must" and until is None:
            raise ValueError(f"{verb} needs: for SECONDS")
        if duration == "no" and until is not None:
            raise ValueError(f"{verb} takes no duration")
        who: tuple[str, ...] = ()
        if target and verb != "cut":
            who, rest = self.resolve_names(rest[0]), rest[1:]
            if target == "controller":
                who = tuple(name for name in who if name in {spec.name for spec in self.controllers})
                if not who:
                    raise ValueError(f"{verb} applies to controllers only")
            if target == "host":
                hosts = {host.name for host in self.hosts}
                who = tuple(name for name in who if name in hosts)  # zone:a selects controllers too
                if not who:
                    raise ValueError(f"{verb} applies to hosts only")
        if verb == "cut":
            who = self.resolve_names(rest[0])
            rest = [",".join(self.resolve_names(rest[2]))] + rest[3:]
            if rest[1:] not in ([], ["one-way"]):
                raise ValueError("cut needs: A from B [one-way] for SECONDS")
        elif argument_count >= 0 and len(rest) != argument_count:
            raise ValueError(f"{verb} takes {argument_count} arguments, not {len(rest)}")
        if verb == "discovery" and (not rest or rest[0] not in ("down", "late", "lose")):
            raise ValueError("discovery needs: down, late SECONDS or lose")
        if verb in ("slow", "pace", "deploy", "burst", "loss", "double", "delay", "jump", "favour"):
            float(rest[0])
        if verb == "hot":
            float(rest[1])
        if verb == "campaign":
            who, rest = self.parse_campaign(rest)
        if verb == "hand" and rest[0] not in DUTIES:
            raise ValueError(f"hand takes a duty: {', '.join(DUTIES)}")
        return Order(at, until, verb, who, tuple(rest))

    def parse_campaign(self, rest) -> tuple[tuple[str, ...], list[str]]:
        """Parses NAME WHO [BOUND=VALUE ...] or NAME pause|resume|abort; returns the hosts and the rest.

        Raises ValueError, IndexError.
        """
        if len(rest) == 2 and rest[1] in CAMPAIGN_CHANGES:
            return (), rest
        hosts = {host.name for host in self.hosts}
        who = tuple(name for name in self.resolve_names(rest[1]) if name in hosts)
        if not who:
            raise ValueError("a campaign needs hosts")
        types = {field.name: type(field.default) for field in fields(Bounds)}
        for word in rest[2:]:
            key, _, value = word.partition("=")
            if key not in types:
                raise ValueError(f"unknown bound {key}")
            types[key](value)
        return who, [rest[0], *rest[2:]]

    def resolve_names(self, text) -> tuple[str, ...]:
        """The names that a selector matches: `h01,h02`, `zone:a`, `cell:2`, `25%`, `hosts`, `controllers`.

        `25%` is a random sample of the hosts, the same for the same seed. `owner:census` and `owner:campaign`
        are returned unchanged: the duty's owner is looked up when the order is executed. Raises ValueError.
        """
        hosts = {host.name: host for host in self.hosts}
        controllers = {controller.name: controller for controller in self.controllers}
        if text in ("discovery", "tool") or text.startswith("owner:") and text[6:] in DUTIES:
            return (text,)
        if text == "hosts":
            return tuple(hosts)
        if text == "controllers":
            return tuple(controllers)
        if text.startswith("zone:"):
            found = [
                n for table in (hosts, controllers) for n, spec in table.items() if spec.zone == text[5:]
            ]
        elif text.startswith("cell:"):
            found = [n for n, spec in hosts.items() if spec.cell == int(text[5:])]
        elif text.endswith("%"):
            found = sorted(
                Random(self.seed + len(text)).sample(list(hosts), round(len(hosts) * float(text[:-1]) / 100))
            )
        else:
            found = text.split(",")
            for name in found:
                if name not in hosts and name not in controllers:
                    raise ValueError(f"no host or controller {name}")
        if not found:
            raise ValueError(f"{text} matches no host or controller")
        return tuple(found)

    def check_cluster(self, cluster: Cluster) -> None:
        """Checks kinds, offerings, campaigns and the number of controllers against the cluster file."""
        settings = cluster.settings
        for host in self.hosts:
            if host.kind not in settings.kinds:
                self.errors.append(f"{self.name}: hosts: no kind {host.kind} in the cluster")
                break
        for stream in self.streams:
            if stream.offering not in settings.offerings:
                self.errors.append(f"{self.name}: load: no offering {stream.offering} in the cluster")
        if cluster.campaign.tool is None and any(words[2:3] == ["campaign"] for _, words in self.orders):
            self.errors.append(f"{self.name}: a campaign, and the cluster has no block campaign")
        if len(self.controllers) != settings.controllers:
            self.errors.append(
                f"{self.name}: {len(self.controllers)} controllers, the cluster states {settings.controllers}"
            )


def words_after(words, name) -> list[str] | None:
    """Returns the words that follow `name`, up to the next keyword or KEY=VALUE; None without `name`.

    Raises ValueError if nothing follows it.
    """
    if name not in words:
        return None
    found = []
    for word in words[words.index(name) + 1 :]:
        if word in ("kind", "zones", "cells") or "=" in word:
            break
        found.append(word)
    if not found:
        raise ValueError(f"nothing follows {name}")
    return found


def parse_habit(word) -> tuple[str, object]:
    """Parses KEY=VALUE, a field of the hosts' behavior. Raises ValueError."""
    name, equals, text = word.partition("=")
    types = {field.name: type(field.default) for field in fields(HostBehavior)}
    if name not in types or not equals:
        raise ValueError(f"unknown habit {name}")
    return name, text == "yes" if types[name] is bool else types[name](text)


def parse_range(text) -> tuple[float, float]:
    """Parses LOW-HIGH or one number for both. Raises ValueError.

    >>> parse_range("1-4"), parse_range("2")
    ((1.0, 4.0), (2.0, 2.0))
    """
    low, _, high = text.partition("-")
    return float(low), float(high or low)
