"""Judges a record of traffic by the five rules. Knows the protocol and the cluster's settings, not the controller."""

from linedeal.audit.rules import RULES, Breach, judge
from linedeal.audit.traffic import Traffic, gather

__all__ = ["RULES", "Breach", "Traffic", "gather", "judge"]
