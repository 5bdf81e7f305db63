"""Day files: what a day holds and what goes wrong in it, in lines that a person can write. docs/days.md has the form."""

from dataclasses import dataclass, fields, replace
from pathlib import Path
from random import Random

from linedeal.settings.cluster import Cluster, ConfigError, read_cluster
from linedeal.settings.records import Bounds
from linedeal.standin.model import HostBehavior


class DayFileError(Exception):
    """`lines`: every fault of the file, each `file: line N: fault`."""

    def __init__(self, lines: list[str]):
        super().__init__("\n".join(lines))
        self.lines = lines


@dataclass(frozen=True, slots=True)
class HostSpec:
    name: str
    kind: str
    zone: str
    cell: int
    habits: HostBehavior


@dataclass(frozen=True, slots=True)
class ControllerSpec:
    name: str
    zone: str
    clock: float = 1.0  # seconds of its clock in a true second


@dataclass(frozen=True, slots=True)
class Stream:
    """Jobs of one offering."""

    offering: str
    rate: float  # a second
    cores: tuple[float, float]
    memory: tuple[float, float]
    services: int
    customers: tuple[str, ...]
    sessions: bool = False  # owners ask in sessions, which outlive links and controllers


@dataclass(frozen=True, slots=True)
class Order:
    """Something done from outside at `at`; undone at `until` where that means anything."""

    at: float
    until: float | None
    verb: str
    who: tuple[str, ...]
    args: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Day:
    name: str
    cluster_path: str
    cluster: Cluster
    seed: int
    length: float
    controllers: tuple[ControllerSpec, ...]
    hosts: tuple[HostSpec, ...]
    streams: tuple[Stream, ...]
    orders: tuple[Order, ...]


# verb: what it acts on, how many words follow, whether it lasts
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
WISHES = ("pause", "resume", "abort")
DUTIES = ("census", "campaign")


def read_day(path: str | Path) -> Day:
    """Raises DayFileError or ConfigError with all faults."""
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise DayFileError([f"{path}: cannot be read: {error.strerror}"]) from None
    return parse_day(text, str(path), path.parent)


def parse_day(text: str, name: str, base: Path = Path(".")) -> Day:
    return Parser(text, name, base).day()


class Parser:
    def __init__(self, text: str, name: str, base: Path):
        self.lines, self.name, self.base = text.splitlines(), name, base
        self.faults: list[str] = []
        self.seed, self.length, self.cluster_path = 1, 60.0, ""
        self.habits: dict[str, object] = {}
        self.controllers: list[ControllerSpec] = []
        self.hosts: list[HostSpec] = []
        self.streams: list[Stream] = []
        self.orders: list[tuple[int, list[str]]] = []

    def day(self) -> Day:
        for number, line in enumerate(self.lines, 1):
            words = line.split("#")[0].split()
            if words:
                self.guard(number, lambda: self.line(number, words))
        cluster = None
        try:
            if not self.cluster_path:
                self.faults.append(f"{self.name}: no line names a cluster")
            else:
                cluster = read_cluster(self.base / self.cluster_path)
        except ConfigError as error:
            self.faults += error.lines
        orders = []
        for number, words in self.orders:
            self.guard(number, lambda: orders.append(self.order(words)))
        for what, found in (("controllers", self.controllers), ("hosts", self.hosts), ("load", self.streams)):
            if not found:
                self.faults.append(f"{self.name}: no line for {what}")
        if cluster is not None:
            self.check(cluster)
        if self.faults:
            raise DayFileError(self.faults)
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

    def guard(self, number, call) -> None:
        try:
            call()
        except (ValueError, IndexError) as error:
            said = "too few words" if isinstance(error, IndexError) else str(error)
            self.faults.append(f"{self.name}: line {number}: {said}")

    def line(self, number, words) -> None:
        name, rest = words[0], words[1:]
        if name == "cluster":
            self.cluster_path = rest[0]
        elif name == "seed":
            self.seed = int(rest[0])
        elif name == "length":
            self.length = float(rest[0])
        elif name == "habit":
            self.habits.update(habit(word) for word in rest)
        elif name == "controllers":
            zones = after(rest, "zones") or ["a"]
            self.controllers += [
                ControllerSpec(f"c{i + 1}", zones[i % len(zones)]) for i in range(int(rest[0]))
            ]
        elif name == "hosts":
            zones, own = after(rest, "zones") or ["a"], dict(habit(word) for word in rest if "=" in word)
            cell = int((after(rest, "cells") or ["4"])[0])
            for _ in range(int(rest[0])):
                i = len(self.hosts)
                self.hosts.append(
                    HostSpec(
                        f"h{i + 1:02}",
                        after(rest, "kind")[0],
                        zones[i % len(zones)],
                        i // cell,
                        HostBehavior(**{**self.habits, **own}),
                    )
                )
        elif name == "clock":
            rate = float(rest[1])
            if not 0.5 <= rate <= 2.0:
                raise ValueError(f"a clock's rate of {rate:g}, 0.5 to 2 may be")
            slow = self.names(rest[0])
            self.controllers = [
                replace(spec, clock=rate) if spec.name in slow else spec for spec in self.controllers
            ]
        elif name == "load":
            sessions = "sessions" in rest[2:]
            figures = dict(word.split("=") for word in rest[2:] if word != "sessions")
            self.streams.append(
                Stream(
                    rest[0],
                    float(rest[1]),
                    span(figures.pop("cores", "1-2")),
                    span(figures.pop("memory", "1-4")),
                    int(figures.pop("services", "4")),
                    tuple(figures.pop("customers", "").split(",")),
                    sessions,
                )
            )
            if figures:
                raise ValueError(f"unknown figure {next(iter(figures))}")
        elif name == "at":
            self.orders.append((number, words))
        else:
            raise ValueError(f"unknown word {name}")

    def order(self, words) -> Order:
        at, verb, rest = float(words[1]), words[2], words[3:]
        if verb not in VERBS:
            raise ValueError(f"unknown verb {verb}")
        on, count, lasts = VERBS[verb]
        until = None
        if len(rest) > 1 and rest[-2] == "for":
            until, rest = at + float(rest[-1]), rest[:-2]
        if lasts == "must" and until is None:
            raise ValueError(f"{verb} needs: for SECONDS")
        if lasts == "no" and until is not None:
            raise ValueError(f"{verb} takes no time")
        who: tuple[str, ...] = ()
        if on and verb != "cut":
            who, rest = self.names(rest[0]), rest[1:]
            if on == "controller":
                who = tuple(name for name in who if name in {spec.name for spec in self.controllers})
                if not who:
                    raise ValueError(f"{verb} is for controllers")
            if on == "host":
                hosts = {host.name for host in self.hosts}
                who = tuple(name for name in who if name in hosts)  # zone:a names controllers too
                if not who:
                    raise ValueError(f"{verb} is for hosts")
        if verb == "cut":
            who = self.names(rest[0])
            rest = [",".join(self.names(rest[2]))] + rest[3:]
            if rest[1:] not in ([], ["one-way"]):
                raise ValueError("cut A from B [one-way] for SECONDS")
        elif count >= 0 and len(rest) != count:
            raise ValueError(f"{verb} takes {count} more words, there are {len(rest)}")
        if verb == "discovery" and (not rest or rest[0] not in ("down", "late", "lose")):
            raise ValueError("discovery down, late SECONDS or lose")
        if verb in ("slow", "pace", "deploy", "burst", "loss", "double", "delay", "jump", "favour"):
            float(rest[0])
        if verb == "hot":
            float(rest[1])
        if verb == "campaign":
            who, rest = self.campaign(rest)
        if verb == "hand" and rest[0] not in DUTIES:
            raise ValueError(f"hand takes a duty: {', '.join(DUTIES)}")
        return Order(at, until, verb, who, tuple(rest))

    def campaign(self, rest) -> tuple[tuple[str, ...], list[str]]:
        """campaign NAME WHO [BOUND=FIGURE ...], or campaign NAME pause, resume or abort."""
        if len(rest) == 2 and rest[1] in WISHES:
            return (), rest
        hosts = {host.name for host in self.hosts}
        who = tuple(name for name in self.names(rest[1]) if name in hosts)
        if not who:
            raise ValueError("a campaign is over hosts")
        kinds = {field.name: type(field.default) for field in fields(Bounds)}
        for word in rest[2:]:
            key, _, figure = word.partition("=")
            if key not in kinds:
                raise ValueError(f"unknown bound {key}")
            kinds[key](figure)
        return who, [rest[0], *rest[2:]]

    def names(self, text) -> tuple[str, ...]:
        """The names that a selector stands for: h01,h02 or zone:a or cell:2 or 25% or hosts or controllers. `owner:census`
        and `owner:campaign` stand for whoever owns that duty when it is played."""
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
            raise ValueError(f"{text} names nothing")
        return tuple(found)

    def check(self, cluster: Cluster) -> None:
        settings = cluster.settings
        for host in self.hosts:
            if host.kind not in settings.kinds:
                self.faults.append(f"{self.name}: hosts: no kind {host.kind} in the cluster")
                break
        for stream in self.streams:
            if stream.offering not in settings.offerings:
                self.faults.append(f"{self.name}: load: no offering {stream.offering} in the cluster")
        if cluster.campaign.tool is None and any(words[2:3] == ["campaign"] for _, words in self.orders):
            self.faults.append(f"{self.name}: a campaign, and the cluster has no block campaign")
        if len(self.controllers) != settings.controllers:
            self.faults.append(
                f"{self.name}: {len(self.controllers)} controllers, the cluster states {settings.controllers}"
            )


def after(words, name) -> list[str] | None:
    """The words that follow `name`, up to the next that is one of these names or holds a figure."""
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


def habit(word) -> tuple[str, object]:
    name, equals, text = word.partition("=")
    kinds = {field.name: type(field.default) for field in fields(HostBehavior)}
    if name not in kinds or not equals:
        raise ValueError(f"unknown habit {name}")
    return name, text == "yes" if kinds[name] is bool else kinds[name](text)


def span(text) -> tuple[float, float]:
    """
    >>> span("1-4"), span("2")
    ((1.0, 4.0), (2.0, 2.0))
    """
    low, _, high = text.partition("-")
    return float(low), float(high or low)
