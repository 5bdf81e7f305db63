"""Reads the settings that the wire sends at an instance's start into the interface's `Settings`."""

from linedeal import interface as api

EFFECTS = {"retryable": api.Effect.REDOABLE, "dedup": api.Effect.LABELLED}
PLACES = {"all": api.Place.ALL, "zone": api.Place.ZONE, "cell": api.Place.CELL, "machine": api.Place.HOST,
          "off": api.Place.NONE}


class BadSetting(Exception):
    """Names the setting that is missing or of the wrong type."""


def get(table, path, kind):
    value = table
    for key in path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if value is None:
        raise BadSetting(f"{path} is missing")
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise BadSetting(f"{path} is not {kind.__name__}")
    return value


def number(values, index, path):
    """One figure of a list that has one for each offering, kind or customer."""
    if index >= len(values):
        raise BadSetting(f"{path}[{index}] is missing")
    if isinstance(values[index], bool) or not isinstance(values[index], (int, float)):
        raise BadSetting(f"{path}[{index}] is not a number")
    return float(values[index])


def read_offering(setup, index, kinds):
    item = get(setup, "classes", list)[index]

    def each(key):
        return number(get(setup, "domain." + key, list), index, "domain." + key)

    effect = EFFECTS.get(get(item, "idempotency", str), api.Effect.IRREVERSIBLE)
    labelled = effect is api.Effect.LABELLED
    group = PLACES.get(item.get("group"), api.Place.NONE) if labelled else api.Place.ALL
    kind = int(each("kind_by_class"))
    spread = get(setup, "domain.class_spread", list)
    place = PLACES.get(spread[index], api.Place.ALL) if index < len(spread) else api.Place.NONE
    return api.Offering(
        name=get(item, "name", str),
        expiry=get(item, "give_up_ms", float) / 1000, value=get(item, "worth", float), effect=effect,
        group=group, window=get(item, "window_ms", float) / 1000 if labelled else 0.0,
        kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        calm=each("class_calm"), fade=each("fades_over"),
        place=place, most=int(each("spread_most")))


def read_settings(setup):
    names = get(setup, "kinds", list)
    kinds = {name: api.Kind(number(get(setup, "domain.cores_by_kind", list), i, "domain.cores_by_kind"),
                            number(get(setup, "domain.size_memory", list), i, "domain.size_memory"))
             for i, name in enumerate(names)}
    offerings = [read_offering(setup, i, names) for i in range(len(get(setup, "classes", list)))]
    customers = setup.get("projects") or []
    quotas = get(setup, "domain.quota_cores", list) if customers else []
    return api.Settings(
        controllers=get(setup, "fleet_size", int),
        offerings={offering.name: offering for offering in offerings}, kinds=kinds,
        quotas={get(item, "name", str): number(quotas, i, "domain.quota_cores")
                for i, item in enumerate(customers)},
        accepts_cores=get(setup, "domain.accepts_cores", float),
        accepts_memory=get(setup, "domain.admit_memory", float),
        starts_confirmed=get(setup, "domain.confirms", str) == "running",
        host_price=float((setup.get("prices") or {}).get("fleet") or 0),
        must_ask=get(setup, "discovery", str) != "automatic",
        ask_within=get(setup, "rules.ask_within_ms", float) / 1000,
        may_probe=get(setup, "permissions.may_probe", bool),
        max_launches=get(setup, "permissions.max_attempts", int),
        cold_time=get(setup, "rules.cold_ms", float) / 1000, young_limit=get(setup, "domain.young_limit", float),
        young_span=get(setup, "rules.overload_for_ms", float) / 1000)
