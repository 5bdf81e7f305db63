"""Reads a cluster's HCL file into frozen records and reports all its problems at once."""

import difflib
import re
from dataclasses import fields
from pathlib import Path

import hcl2
from lark.exceptions import LarkError

from linedeal import interface as api
from linedeal.net import parse_address
from linedeal.settings import build
from linedeal.settings.keys import HASH_PATTERN, Keys
from linedeal.settings.records import (
    Bounds,
    CampaignSettings,
    Cluster,
    CouncilSettings,
    JournalSettings,
    Limits,
    Rules,
)

EFFECTS = {
    "redoable": api.Effect.REDOABLE,
    "labelled": api.Effect.LABELLED,
    "irreversible": api.Effect.IRREVERSIBLE,
}
TOPOLOGY_LEVELS = {
    "none": api.TopologyLevel.NONE,
    "host": api.TopologyLevel.HOST,
    "cell": api.TopologyLevel.CELL,
    "zone": api.TopologyLevel.ZONE,
    "all": api.TopologyLevel.ALL,
}
REQUIRED = object()  # in place of a default: the key has to be set
MAX_VALUE = 1e15  # of any number: sums and products stay finite, and times keep their milliseconds
# limits of single keys: seconds; bytes that fit into a frame with the rest of a job
MAX_VALUES = {"tick": 1.0, "work": 1_000_000}
MIN_JOURNAL_BYTES = 1 << 20  # exclusive lower limit of the journal's size


class ConfigError(Exception):
    """A cluster file cannot be used. `lines` has one line `file: block: problem` for each problem."""

    def __init__(self, lines: list[str]):
        """`lines`: the problems; the message has all of them, one per line."""
        super().__init__("\n".join(lines))
        self.lines = lines


def keys_of(record) -> dict[str, tuple]:
    """The keys of a block that is read into the dataclass `record`: type and default of each field."""
    return {field.name: (type(field.default), field.default) for field in fields(record)}


# keys of each block, with type (or allowed words) and default
BLOCKS = {
    "cluster": {
        "controllers": (int, REQUIRED),
        "accepts_cores": (float, 2.0),
        "accepts_memory": (float, 1.5),
        "confirms": (("accepted", "running"), "accepted"),
        "host_price": (float, 0.0),
        "ask_within": (float, 10.0),
        "may_probe": (bool, True),
        "max_launches": (int, 6),
    },
    "young": {"time": (float, 10.0), "offers": (float, 20.0), "span": (float, 3.0)},
    "rules": keys_of(Rules),
    "limits": keys_of(Limits),
    "journal": keys_of(JournalSettings),
    "kind": {"cores": (float, REQUIRED), "memory": (float, REQUIRED)},
    "offering": {
        "expiry": (float, REQUIRED),
        "value": (float, 1.0),
        "effect": (tuple(EFFECTS), REQUIRED),
        "group": (tuple(TOPOLOGY_LEVELS), "none"),
        "window": (float, 0.0),
        "kind": (str, None),
        "calm": (float, 1.0),
        "fade": (float, 1.0),
        "spread": (tuple(TOPOLOGY_LEVELS), "none"),
        "most": (int, 0),
    },
    "customer": {"cores": (float, None), "key": (str, None)},
    "clients": {"keys_needed": (bool, False)},
    "council": {"id": (str, REQUIRED), "key": (str, ""), "lease": (float, 6.0), "drift": (float, 0.05)},
    "member": {"address": (str, REQUIRED)},
    "campaign": {"tool": (str, REQUIRED), **keys_of(Bounds)},
}
NAMED_BLOCKS = ("kind", "offering", "customer", "member")  # each of these blocks has a name
# numbers of members: an even number tolerates no more failures than the odd number below it
COUNCIL_SIZES = (1, 3, 5)


def read_cluster(path: str | Path) -> Cluster:
    """Reads and validates a cluster file. Raises ConfigError with every problem of the file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        cluster = parse_cluster(text, str(path))
        # detects a file that is being written: cut off between two blocks it is valid, but incomplete
        if Path(path).is_file() and Path(path).read_text(encoding="utf-8") != text:
            raise ConfigError([f"{path}: changed while it was read"])
        return cluster
    except OSError as error:
        raise ConfigError([f"{path}: cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError as error:
        raise ConfigError([f"{path}: not UTF-8 at byte {error.start}"]) from None


def parse_cluster(text: str, name: str = "cluster.hcl") -> Cluster:
    """As `read_cluster`, from text; `name` is the file name in error messages. Raises ConfigError."""
    lines: list[str] = []
    blocks = {block: {} for block in BLOCKS}

    def report(block, problem):
        lines.append(f"{name}: {block}: {problem}")

    for key, value in parse_hcl(text, name).items():
        if key not in BLOCKS or not isinstance(value, list):
            report(
                key,
                f"unknown block{nearest(key, BLOCKS)}" if key not in BLOCKS else "is a block, not a value",
            )
            continue
        for item in value:
            label, body = "", item
            if key in NAMED_BLOCKS:
                label, body = next(((k, v) for k, v in item.items() if not k.startswith("__")), ("", None))
                label = unquote(label)
            where = f"{key} {label}".strip()
            if not isinstance(body, dict) or any(isinstance(value, dict) for value in body.values()):
                report(where, "needs exactly one name" if key in NAMED_BLOCKS else "must not have a name")
            elif label in blocks[key]:
                report(where, "is defined twice")
            else:
                blocks[key][label] = read_values(BLOCKS[key], body, where, report)
    for key in ("cluster", "young", "rules", "limits", "journal", "clients"):
        if not blocks[key]:
            blocks[key][""] = read_values(BLOCKS[key], {}, key, report)
    if lines:
        raise ConfigError(lines)
    settings = to_settings(blocks)
    limits, rules = Limits(**blocks["limits"][""]), Rules(**blocks["rules"][""])
    journal = JournalSettings(**blocks["journal"][""])
    keys = Keys(
        {customer: item["key"] for customer, item in blocks["customer"].items() if item["key"] is not None},
        blocks["clients"][""]["keys_needed"],
    )
    for customer, item in blocks["customer"].items():
        if item["key"] is None and item["cores"] is None:
            report(f"customer {customer}", "cores or key is missing")
        if item["key"] is not None and not HASH_PATTERN.fullmatch(item["key"]):
            report(f"customer {customer}", "key is no hash; `linedeal key` makes one")
    for offering, item in blocks["offering"].items():
        for key, default in (("group", "none"), ("window", 0.0)):
            if item[key] != default and item["effect"] != "labelled":
                report(
                    f"offering {offering}", f"{key} is for labelled offerings, this one is {item['effect']}"
                )
        if item["most"] and item["spread"] == "none":
            report(f"offering {offering}", "most is for offerings with a spread")
    if keys.needed and not keys.hashes:
        report("clients", "keys_needed, and no customer has a key")
    for where, problem in build.invalid_settings(settings) + build.implausible_settings(settings):
        block, _, key = where.rpartition(".")
        report(block or "cluster", f"{key} {problem}")
    for block, record in (("limits", limits), ("rules", rules)):
        for key in record.__dataclass_fields__:
            if getattr(record, key) <= 0:
                report(block, f"{key} is {getattr(record, key):g}, over 0 is needed")
    for key, minimum in (("answers_kept", 0), ("most", MIN_JOURNAL_BYTES), ("spare", 0)):
        if getattr(journal, key) <= minimum:
            report("journal", f"{key} is {getattr(journal, key):g}, over {minimum} is needed")
    council, campaign = council_settings(blocks, report), campaign_settings(blocks, report)
    if lines:
        raise ConfigError(lines)
    return Cluster(settings, limits, rules, journal, keys, council, campaign)


def council_settings(blocks, report) -> CouncilSettings:
    """The settings of the council; passes problems to `report`.

    Without a block `council` there is none, and no duty of the fleet has an owner.
    """
    block, members = blocks["council"].get(""), blocks["member"]
    if block is None:
        for name in members:
            report(f"member {name}", "there is no block council")
        return CouncilSettings()
    if len(members) not in COUNCIL_SIZES:
        report("council", f"{len(members)} members, {', '.join(map(str, COUNCIL_SIZES))} are allowed")
    if not re.fullmatch(r"[\w.-]{1,64}", block["id"] or ""):
        report("council", f"id is {block['id']!r}, 1 to 64 letters, digits, dots and dashes are needed")
    if block["key"] and not HASH_PATTERN.fullmatch(block["key"]):
        report("council", "key is no hash; `linedeal key` makes one")
    if not 1 <= block["lease"] <= 3600:
        report("council", f"lease is {block['lease']:g}, 1 to 3600 seconds are allowed")
    if not 0 <= block["drift"] <= 0.25:
        report("council", f"drift is {block['drift']:g}, 0 to 0.25 is allowed")
    addresses = {}
    for name, item in sorted(members.items()):
        try:
            addresses[name] = parse_address(item["address"] or "")
        except ValueError as error:
            report(f"member {name}", str(error))
    for name, address in addresses.items():
        if list(addresses.values()).count(address) > 1:
            report(f"member {name}", f"{members[name]['address']} is also the address of another member")
    return CouncilSettings(block["id"], block["key"], block["lease"], block["drift"], addresses)


def campaign_settings(blocks, report) -> CampaignSettings:
    """The settings of campaigns, the defaults without a block `campaign`; passes problems to `report`."""
    block = blocks["campaign"].get("")
    if block is None:
        return CampaignSettings()
    if not blocks["council"]:
        report("campaign", "there is no block council, so no controller could own it")
    tool, bounds = block["tool"], {key: value for key, value in block.items() if key != "tool"}
    for key in ("most", "cells"):
        if bounds[key] < 1:
            report("campaign", f"{key} is {bounds[key]}, 1 at least is needed")
    for key in ("room", "strain"):
        if not 0 < bounds[key] <= 1:
            report("campaign", f"{key} is {bounds[key]:g}, over 0 and up to 1 is needed")
    for key in ("patience", "warm", "away"):
        if bounds[key] < 0:
            report("campaign", f"{key} is {bounds[key]:g}, 0 at least is needed")
    try:
        # an unchanged host list is confirmed only once per ask_within, so data of that age is not outdated
        news = max(CampaignSettings().news, 1.5 * blocks["cluster"][""]["ask_within"])
        return CampaignSettings(Bounds(**bounds), parse_address(tool or ""), news)
    except ValueError as error:
        report("campaign", f"tool: {error}")
        return CampaignSettings()


def parse_hcl(text, name):
    """The blocks and values of an HCL text. Raises ConfigError if it is not HCL."""
    try:
        parsed = hcl2.loads(text)
    except LarkError as error:
        line, problem = getattr(error, "line", None), str(error).splitlines()[0]
        raise ConfigError(
            [f"{name}: line {line}: not HCL: {problem}" if line else f"{name}: not HCL: {problem}"]
        ) from None
    except RecursionError:
        raise ConfigError([f"{name}: not HCL: nested too deep"]) from None
    return {key: value for key, value in parsed.items() if not key.startswith("__")}


def read_values(known, body, where, report):
    """The values of a block, with defaults.

    Keys that are unknown, missing or of the wrong type are passed to `report`.
    """
    values = {}
    for key in body:
        if not key.startswith("__") and key not in known:
            report(where, f"unknown key {key}{nearest(key, known)}")
    for key, (kind, default) in known.items():
        if key not in body:
            if default is REQUIRED:
                report(where, f"{key} is missing")
            values[key] = default
            continue
        value = body[key]
        if isinstance(value, str) and re.fullmatch(r'".*"', value, re.S):
            value = unquote(value)
        try:
            if isinstance(kind, tuple):
                if build.typed(value, str, key) not in kind:
                    raise build.SettingError(f"{key} is {value!r}, one of {', '.join(kind)} is needed")
                values[key] = value
            else:
                values[key] = build.typed(value, kind, key)
                limit = MAX_VALUES.get(key, MAX_VALUE)
                if isinstance(values[key], (int, float)) and not -limit <= values[key] <= limit:
                    raise build.SettingError(f"{key} is too large, at most {limit:g} is allowed")
        except build.SettingError as error:
            report(where, str(error))
    return values


def to_settings(blocks) -> api.Settings:
    """The decision module's settings from the values of all blocks."""
    cluster, young = blocks["cluster"][""], blocks["young"][""]
    return api.Settings(
        controllers=cluster["controllers"],
        offerings={
            name: build.offering(
                name,
                item["expiry"],
                item["value"],
                EFFECTS[item["effect"]],
                TOPOLOGY_LEVELS[item["group"]],
                item["window"],
                item["kind"],
                item["calm"],
                item["fade"],
                TOPOLOGY_LEVELS[item["spread"]],
                item["most"],
            )
            for name, item in blocks["offering"].items()
        },
        kinds={name: api.HostKind(item["cores"], item["memory"]) for name, item in blocks["kind"].items()},
        quotas={
            name: item["cores"] for name, item in blocks["customer"].items() if item["cores"] is not None
        },
        accepts_cores=cluster["accepts_cores"],
        accepts_memory=cluster["accepts_memory"],
        starts_confirmed=cluster["confirms"] == "running",
        host_price=cluster["host_price"],
        must_subscribe=True,
        subscription_timeout=cluster["ask_within"],
        may_probe=cluster["may_probe"],
        max_launches=cluster["max_launches"],
        slow_start_duration=young["time"],
        slow_start_limit=young["offers"],
        slow_start_window=young["span"],
    )


def unquote(text: str) -> str:
    """The text without surrounding double quotes."""
    return text[1:-1] if len(text) > 1 and text[0] == text[-1] == '"' else text


def nearest(key, known) -> str:
    """An addition to an error message that names the most similar known word, if there is one."""
    close = difflib.get_close_matches(key, known, n=1, cutoff=0.5)
    return f", the nearest known is {close[0]}" if close else ""
