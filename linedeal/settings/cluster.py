"""Reads a cluster's HCL file into frozen records, and names all its faults at once."""

import difflib
import re
from dataclasses import fields
from pathlib import Path

import hcl2
from lark.exceptions import LarkError

from linedeal import interface as api
from linedeal.net import parse_address
from linedeal.settings import build
from linedeal.settings.keys import FORM, Keys
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
PLACES = {
    "none": api.TopologyLevel.NONE,
    "host": api.TopologyLevel.HOST,
    "cell": api.TopologyLevel.CELL,
    "zone": api.TopologyLevel.ZONE,
    "all": api.TopologyLevel.ALL,
}
NEEDED = object()
LARGEST = 1e15  # of any figure: sums and products of such stay finite, and times keep their milliseconds
MOST = {"tick": 1.0, "work": 1_000_000}  # seconds; bytes that a frame carries beside the rest of a job


class ConfigError(Exception):
    """`lines`: every fault found, each `file: block: fault` on one line."""

    def __init__(self, lines: list[str]):
        super().__init__("\n".join(lines))
        self.lines = lines


def keys_of(record) -> dict[str, tuple]:
    """The keys of a block that is read into `record`: type and default of each field."""
    return {field.name: (type(field.default), field.default) for field in fields(record)}


BLOCKS = {
    "cluster": {
        "controllers": (int, NEEDED),
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
    "kind": {"cores": (float, NEEDED), "memory": (float, NEEDED)},
    "offering": {
        "expiry": (float, NEEDED),
        "value": (float, 1.0),
        "effect": (tuple(EFFECTS), NEEDED),
        "group": (tuple(PLACES), "none"),
        "window": (float, 0.0),
        "kind": (str, None),
        "calm": (float, 1.0),
        "fade": (float, 1.0),
        "spread": (tuple(PLACES), "none"),
        "most": (int, 0),
    },
    "customer": {"cores": (float, None), "key": (str, None)},
    "clients": {"keys_needed": (bool, False)},
    "council": {"id": (str, NEEDED), "key": (str, ""), "lease": (float, 6.0), "drift": (float, 0.05)},
    "member": {"address": (str, NEEDED)},
    "campaign": {"tool": (str, NEEDED), **keys_of(Bounds)},
}
NAMED = ("kind", "offering", "customer", "member")
COUNCILS = (1, 3, 5)  # members: an even number bears no more losses than the odd one below it


def read_cluster(path: str | Path) -> Cluster:
    """The records of a cluster file. Raises ConfigError with every fault of the file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        cluster = parse_cluster(text, str(path))
        # guards against a file that somebody is writing: cut between two blocks it is sound, and lacks the rest
        if Path(path).is_file() and Path(path).read_text(encoding="utf-8") != text:
            raise ConfigError([f"{path}: changed while it was read"])
        return cluster
    except OSError as error:
        raise ConfigError([f"{path}: cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError as error:
        raise ConfigError([f"{path}: not UTF-8 at byte {error.start}"]) from None


def parse_cluster(text: str, name: str = "cluster.hcl") -> Cluster:
    """As `read_cluster`, from text; `name` stands in the faults."""
    lines: list[str] = []
    blocks = {block: {} for block in BLOCKS}

    def fault(block, said):
        lines.append(f"{name}: {block}: {said}")

    for key, value in tree(text, name).items():
        if key not in BLOCKS or not isinstance(value, list):
            fault(
                key,
                f"unknown block{nearest(key, BLOCKS)}" if key not in BLOCKS else "is a block, not a value",
            )
            continue
        for item in value:
            label, body = "", item
            if key in NAMED:
                label, body = next(((k, v) for k, v in item.items() if not k.startswith("__")), ("", None))
                label = unquote(label)
            where = f"{key} {label}".strip()
            if not isinstance(body, dict) or any(isinstance(value, dict) for value in body.values()):
                fault(where, "takes one name" if key in NAMED else "takes no name")
            elif label in blocks[key]:
                fault(where, "stands twice")
            else:
                blocks[key][label] = values(BLOCKS[key], body, where, fault)
    for key in ("cluster", "young", "rules", "limits", "journal", "clients"):
        if not blocks[key]:
            blocks[key][""] = values(BLOCKS[key], {}, key, fault)
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
            fault(f"customer {customer}", "cores or key is missing")
        if item["key"] is not None and not FORM.fullmatch(item["key"]):
            fault(f"customer {customer}", "key is no hash; `linedeal key` makes one")
    for offering, item in blocks["offering"].items():
        for key, default in (("group", "none"), ("window", 0.0)):
            if item[key] != default and item["effect"] != "labelled":
                fault(
                    f"offering {offering}", f"{key} is for labelled offerings, this one is {item['effect']}"
                )
        if item["most"] and item["spread"] == "none":
            fault(f"offering {offering}", "most is for offerings with a spread")
    if keys.needed and not keys.hashes:
        fault("clients", "keys_needed, and no customer has a key")
    for where, said in build.invalid_settings(settings) + build.implausible_settings(settings):
        block, _, key = where.rpartition(".")
        fault(block or "cluster", f"{key} {said}")
    for block, record in (("limits", limits), ("rules", rules)):
        for key in record.__dataclass_fields__:
            if getattr(record, key) <= 0:
                fault(block, f"{key} is {getattr(record, key):g}, over 0 is needed")
    for key, least in (("answers_kept", 0), ("most", 1 << 20), ("spare", 0)):
        if getattr(journal, key) <= least:
            fault("journal", f"{key} is {getattr(journal, key):g}, over {least} is needed")
    council, campaign = council_of(blocks, fault), campaign_of(blocks, fault)
    if lines:
        raise ConfigError(lines)
    return Cluster(settings, limits, rules, journal, keys, council, campaign)


def council_of(blocks, fault) -> CouncilSettings:
    """None named: there is no council, and work on behalf of the fleet stands still."""
    block, members = blocks["council"].get(""), blocks["member"]
    if block is None:
        for name in members:
            fault(f"member {name}", "there is no block council")
        return CouncilSettings()
    if len(members) not in COUNCILS:
        fault("council", f"{len(members)} members, {', '.join(map(str, COUNCILS))} may be")
    if not re.fullmatch(r"[\w.-]{1,64}", block["id"] or ""):
        fault("council", f"id is {block['id']!r}, 1 to 64 letters, digits, dots and dashes are needed")
    if block["key"] and not FORM.fullmatch(block["key"]):
        fault("council", "key is no hash; `linedeal key` makes one")
    if not 1 <= block["lease"] <= 3600:
        fault("council", f"lease is {block['lease']:g}, 1 to 3600 seconds may be")
    if not 0 <= block["drift"] <= 0.25:
        fault("council", f"drift is {block['drift']:g}, 0 to 0.25 may be")
    places = {}
    for name, item in sorted(members.items()):
        try:
            places[name] = parse_address(item["address"] or "")
        except ValueError as error:
            fault(f"member {name}", str(error))
    for name, place in places.items():
        if list(places.values()).count(place) > 1:
            fault(f"member {name}", f"{members[name]['address']} is another member's too")
    return CouncilSettings(block["id"], block["key"], block["lease"], block["drift"], places)


def campaign_of(blocks, fault) -> CampaignSettings:
    block = blocks["campaign"].get("")
    if block is None:
        return CampaignSettings()
    if not blocks["council"]:
        fault("campaign", "there is no block council: nobody could own it")
    tool, figures = block["tool"], {key: value for key, value in block.items() if key != "tool"}
    for key in ("most", "cells"):
        if figures[key] < 1:
            fault("campaign", f"{key} is {figures[key]}, 1 at least is needed")
    for key in ("room", "strain"):
        if not 0 < figures[key] <= 1:
            fault("campaign", f"{key} is {figures[key]:g}, over 0 and up to 1 may be")
    for key in ("patience", "warm", "away"):
        if figures[key] < 0:
            fault("campaign", f"{key} is {figures[key]:g}, 0 at least is needed")
    try:
        news = max(
            CampaignSettings().news, 1.5 * blocks["cluster"][""]["ask_within"]
        )  # a quiet list is asked that often
        return CampaignSettings(Bounds(**figures), parse_address(tool or ""), news)
    except ValueError as error:
        fault("campaign", f"tool: {error}")
        return CampaignSettings()


def tree(text, name):
    try:
        found = hcl2.loads(text)
    except LarkError as error:
        line, said = getattr(error, "line", None), str(error).splitlines()[0]
        raise ConfigError(
            [f"{name}: line {line}: not HCL: {said}" if line else f"{name}: not HCL: {said}"]
        ) from None
    except RecursionError:
        raise ConfigError([f"{name}: not HCL: nested too deep"]) from None
    return {key: value for key, value in found.items() if not key.startswith("__")}


def values(known, body, where, fault):
    """The block's values, with defaults; what is unknown, missing or of the wrong type is told to `fault`."""
    found = {}
    for key in body:
        if not key.startswith("__") and key not in known:
            fault(where, f"unknown key {key}{nearest(key, known)}")
    for key, (kind, default) in known.items():
        if key not in body:
            if default is NEEDED:
                fault(where, f"{key} is missing")
            found[key] = default
            continue
        value = body[key]
        if isinstance(value, str) and re.fullmatch(r'".*"', value, re.S):
            value = unquote(value)
        try:
            if isinstance(kind, tuple):
                if build.typed(value, str, key) not in kind:
                    raise build.SettingError(f"{key} is {value!r}, one of {', '.join(kind)} is needed")
                found[key] = value
            else:
                found[key] = build.typed(value, kind, key)
                most = MOST.get(key, LARGEST)
                if isinstance(found[key], (int, float)) and not -most <= found[key] <= most:
                    raise build.SettingError(f"{key} is out of all measure, at most {most:g} is taken")
        except build.SettingError as error:
            fault(where, str(error))
    return found


def to_settings(blocks) -> api.Settings:
    cluster, young = blocks["cluster"][""], blocks["young"][""]
    return api.Settings(
        controllers=cluster["controllers"],
        offerings={
            name: build.offering(
                name,
                item["expiry"],
                item["value"],
                EFFECTS[item["effect"]],
                PLACES[item["group"]],
                item["window"],
                item["kind"],
                item["calm"],
                item["fade"],
                PLACES[item["spread"]],
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
    return text[1:-1] if len(text) > 1 and text[0] == text[-1] == '"' else text


def nearest(key, known) -> str:
    close = difflib.get_close_matches(key, known, n=1, cutoff=0.5)
    return f", the nearest known is {close[0]}" if close else ""
