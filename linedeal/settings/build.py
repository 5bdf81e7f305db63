"""Validates the decision module's `Settings`, whether they come from the simulator or from an HCL file.

Uses only the standard library, since the simulator's adapter imports it too.
"""

import math

from linedeal import interface as api


class SettingError(Exception):
    """A setting is missing, of the wrong type or out of range. The message names it."""


def number(value, path: str) -> float:
    """`value` as a float. Raises SettingError, naming `path`, if it is missing, no number or too large.

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
        raise SettingError(f"{path} is too large") from None
    if math.isnan(value):
        raise SettingError(f"{path} is not a number")
    return value


def typed(value, kind: type, path: str):
    """`value` if it is of type `kind`; integers pass as floats. Raises SettingError, naming `path`."""
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
    """An offering, with `group` and `window` only if its effect is labelled: others do not use them."""
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
    """The settings that no controller can work with, as (setting, problem), in the order of the settings.

    This applies to settings from every source: each problem would break the decision module's arithmetic.
    """
    problems = [
        too_low("controllers", settings.controllers, 1),
        too_low("accepts_cores", settings.accepts_cores),
        too_low("accepts_memory", settings.accepts_memory),
        too_low("young.offers", settings.slow_start_limit),
        too_low("young.span", settings.slow_start_window),
    ]
    for name, kind in settings.kinds.items():
        problems += [too_low(f"kind {name}.cores", kind.cores), too_low(f"kind {name}.memory", kind.memory)]
    return [problem for problem in problems if problem]


def implausible_settings(settings: api.Settings) -> list[tuple[str, str]]:
    """Settings that an operator who writes them by hand cannot have intended, as (setting, problem)."""
    problems = [
        too_low("max_launches", settings.max_launches, 1),
        too_low("host_price", settings.host_price, 0),
        too_low("ask_within", settings.subscription_timeout),
        too_low("young.time", settings.slow_start_duration, 0),
    ]
    for name, item in settings.offerings.items():
        problems += [
            too_low(f"offering {name}.expiry", item.expiry),
            too_low(f"offering {name}.value", item.value, 0),
            too_low(f"offering {name}.calm", item.degradation_start),
            too_low(f"offering {name}.fade", item.degradation_span, 0),
        ]
        if item.effect is api.Effect.LABELLED:
            problems.append(too_low(f"offering {name}.window", item.dedup_window))
            if item.dedup_level is api.TopologyLevel.NONE:
                problems.append((f"offering {name}.group", "is missing, a labelled offering needs one"))
        if item.spread_level is not api.TopologyLevel.NONE:
            problems.append(too_low(f"offering {name}.most", item.max_per_domain, 1))
        if item.kind is not None and item.kind not in settings.kinds:
            problems.append((f"offering {name}.kind", f"names {item.kind!r}, which is not a kind"))
    problems += [too_low(f"customer {name}.cores", quota, 0) for name, quota in settings.quotas.items()]
    problems += [
        (block, "there is none")
        for block, table in (("kind", settings.kinds), ("offering", settings.offerings))
        if not table
    ]
    return [problem for problem in problems if problem]


def too_low(path: str, value: float, minimum: float | None = None) -> tuple[str, str] | None:
    """The problem of a value below `minimum`; without a minimum it has to be greater than 0."""
    if minimum is None:
        return None if value > 0 else (path, f"is {value:g}, over 0 is needed")
    return None if value >= minimum else (path, f"is {value:g}, at least {minimum:g} is needed")
