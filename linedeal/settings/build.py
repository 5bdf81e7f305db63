"""What the decision module's `Settings` must fulfil, whoever reads them: the bench's wire or an HCL file.

Standard library only, since the adapter of the bench uses it too.
"""

import math

from linedeal import interface as api


class SettingError(Exception):
    """Names the setting that is missing, of the wrong type or out of its range."""


def number(value, path: str) -> float:
    """`value` as a float, or SettingError that names `path`.

    >>> number(3, "young.time")
    3.0
    """
    if value is None:
        raise SettingError(f"{path} is missing")
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise SettingError(f"{path} is not a number")
    try:
        value = float(value)
    except OverflowError:
        raise SettingError(f"{path} is larger than can be reckoned with") from None
    if math.isnan(value):
        raise SettingError(f"{path} is not a number")
    return value


def typed(value, kind: type, path: str):
    """`value` if it is of that type (whole numbers pass as float), or SettingError that names `path`."""
    if kind is float:
        return number(value, path)
    if value is None:
        raise SettingError(f"{path} is missing")
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise SettingError(f"{path} is not {kind.__name__}")
    return value


def offering(
    name: str,
    expiry: float,
    value: float,
    effect: api.Effect,
    group: api.TopologyLevel,
    window: float,
    kind: str | None,
    calm: float,
    fade: float,
    place: api.TopologyLevel,
    most: int,
) -> api.Offering:
    """An offering whose group and window fit its effect: only a labelled one has them."""
    labelled = effect is api.Effect.LABELLED
    return api.Offering(
        name=name,
        expiry=expiry,
        value=value,
        effect=effect,
        dedup_level=group if labelled else api.TopologyLevel.ALL,
        dedup_window=window if labelled else 0.0,
        kind=kind,
        degradation_start=calm,
        degradation_span=fade,
        spread_level=place,
        max_per_domain=most,
    )


def invalid_settings(settings: api.Settings) -> list[tuple[str, str]]:
    """What no controller can work with, as (setting, fault), in the order of the settings; empty when sound.

    Wherever the settings come from: each of these would stop the module's arithmetic.
    """
    found = [
        low("controllers", settings.controllers, 1),
        low("accepts_cores", settings.accepts_cores),
        low("accepts_memory", settings.accepts_memory),
        low("young.offers", settings.slow_start_limit),
        low("young.span", settings.slow_start_window),
    ]
    for name, kind in settings.kinds.items():
        found += [low(f"kind {name}.cores", kind.cores), low(f"kind {name}.memory", kind.memory)]
    return [fault for fault in found if fault]


def implausible_settings(settings: api.Settings) -> list[tuple[str, str]]:
    """What an operator who writes the settings by hand cannot have meant, in the same form."""
    found = [
        low("max_launches", settings.max_launches, 1),
        low("host_price", settings.host_price, 0),
        low("ask_within", settings.subscription_timeout),
        low("young.time", settings.slow_start_duration, 0),
    ]
    for name, item in settings.offerings.items():
        found += [
            low(f"offering {name}.expiry", item.expiry),
            low(f"offering {name}.value", item.value, 0),
            low(f"offering {name}.calm", item.degradation_start),
            low(f"offering {name}.fade", item.degradation_span, 0),
        ]
        if item.effect is api.Effect.LABELLED:
            found.append(low(f"offering {name}.window", item.dedup_window))
            if item.dedup_level is api.TopologyLevel.NONE:
                found.append((f"offering {name}.group", "is missing, a labelled offering needs one"))
        if item.spread_level is not api.TopologyLevel.NONE:
            found.append(low(f"offering {name}.most", item.max_per_domain, 1))
        if item.kind is not None and item.kind not in settings.kinds:
            found.append((f"offering {name}.kind", f"names {item.kind!r}, which is no kind"))
    found += [low(f"customer {name}.cores", quota, 0) for name, quota in settings.quotas.items()]
    found += [
        (block, "there is none")
        for block, table in (("kind", settings.kinds), ("offering", settings.offerings))
        if not table
    ]
    return [fault for fault in found if fault]


def low(path: str, value: float, least: float | None = None) -> tuple[str, str] | None:
    """The fault of a figure under `least`, or not over 0 where no least is given."""
    if least is None:
        return None if value > 0 else (path, f"is {value:g}, over 0 is needed")
    return None if value >= least else (path, f"is {value:g}, at least {least:g} is needed")
