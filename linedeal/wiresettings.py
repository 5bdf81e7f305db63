"""Reads the settings of the simulator and of the platform, one JSON object, into the interface's `Settings`.

A missing setting, or one of the wrong type, raises SettingError with its path.
"""

from linedeal import interface as api
from linedeal.settings import build
from linedeal.settings.build import SettingError

# An unknown effect counts as irreversible, the cautious one.
EFFECTS = {"retryable": api.Effect.REDOABLE, "dedup": api.Effect.LABELLED}
TOPOLOGY_LEVELS = {
    "all": api.TopologyLevel.ALL,
    "zone": api.TopologyLevel.ZONE,
    "cell": api.TopologyLevel.CELL,
    "machine": api.TopologyLevel.HOST,
    "off": api.TopologyLevel.NONE,
}

# Reasons, modes and metrics as the simulator and the platform name or number them.
REASONS = {
    1: api.Reason.CORES,
    2: api.Reason.MEMORY,
    3: api.Reason.QUEUE,
    4: api.Reason.NOT_HERE,
    5: api.Reason.EVICTED,
    6: api.Reason.PUSHED_OUT,
    7: api.Reason.SENT_AWAY,
}
MODES = {"SERVING": api.Mode.SERVING, "DRAINING": api.Mode.DRAINING, "DELETED": api.Mode.GONE}
METRICS = {1: "started", 2: "cores", 3: "memory", 4: "served", 5: "host_memory"}


def report_names(setup):
    """The interface's names for the figures of a host's report; `free_by`: what counts as free."""
    used = setup.get("domain", {}).get("free_by") == "used"
    return (
        {"x0": "idle_cores", "x1": "idle_memory"} if used else {"x0": "unasked_cores", "x1": "unasked_memory"}
    )


def get(table, path, kind):
    """The value at a dotted path, of type `kind`; raises SettingError."""
    value = table
    for key in path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return build.typed(value, kind, path)


def number(values, index, path):
    """One figure of a list with one for each offering, kind or customer; raises SettingError."""
    return build.number(values[index] if index < len(values) else None, f"{path}[{index}]")


def read_offering(setup, index, kinds):
    """The offering at `index` of `classes`; `kinds`: the names of host kinds. Raises SettingError."""
    item = get(setup, "classes", list)[index]

    def each(key):
        return number(get(setup, "domain." + key, list), index, "domain." + key)

    effect = EFFECTS.get(get(item, "idempotency", str), api.Effect.IRREVERSIBLE)
    kind = int(each("kind_by_class"))
    spread = get(setup, "domain.class_spread", list)
    spread_level = (
        TOPOLOGY_LEVELS.get(spread[index], api.TopologyLevel.ALL)
        if index < len(spread)
        else api.TopologyLevel.NONE
    )
    return build.offering(
        name=get(item, "name", str),
        expiry=get(item, "give_up_ms", float) / 1000,
        value=get(item, "worth", float),
        effect=effect,
        group=TOPOLOGY_LEVELS.get(item.get("group"), api.TopologyLevel.NONE),
        window=get(item, "window_ms", float) / 1000 if effect is api.Effect.LABELLED else 0.0,
        kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        calm=each("class_calm"),
        fade=each("fades_over"),
        place=spread_level,
        most=int(each("spread_most")),
    )


def read_settings(setup):
    """The settings in `setup`; raises SettingError for the first that is missing or invalid."""
    names = get(setup, "kinds", list)
    kinds = {
        name: api.HostKind(
            number(get(setup, "domain.cores_by_kind", list), i, "domain.cores_by_kind"),
            number(get(setup, "domain.size_memory", list), i, "domain.size_memory"),
        )
        for i, name in enumerate(names)
    }
    offerings = [read_offering(setup, i, names) for i in range(len(get(setup, "classes", list)))]
    customers = setup.get("projects") or []
    quotas = get(setup, "domain.quota_cores", list) if customers else []
    settings = api.Settings(
        controllers=get(setup, "fleet_size", int),
        offerings={offering.name: offering for offering in offerings},
        kinds=kinds,
        quotas={
            get(item, "name", str): number(quotas, i, "domain.quota_cores")
            for i, item in enumerate(customers)
        },
        accepts_cores=get(setup, "domain.accepts_cores", float),
        accepts_memory=get(setup, "domain.admit_memory", float),
        starts_confirmed=get(setup, "domain.confirms", str) == "running",
        host_price=float((setup.get("prices") or {}).get("fleet") or 0),
        must_subscribe=get(setup, "discovery", str) != "automatic",
        subscription_timeout=get(setup, "rules.ask_within_ms", float) / 1000,
        may_probe=get(setup, "permissions.may_probe", bool),
        max_launches=get(setup, "permissions.max_attempts", int),
        slow_start_duration=get(setup, "rules.cold_ms", float) / 1000,
        slow_start_limit=get(setup, "domain.young_limit", float),
        slow_start_window=get(setup, "rules.overload_for_ms", float) / 1000,
    )
    for path, problem in build.invalid_settings(settings):
        raise SettingError(f"{path} {problem}")
    return settings
