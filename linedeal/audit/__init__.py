"""Checks recorded traffic against the five rules.

Knows the protocol and the cluster's settings, and nothing of the controller's own state.
"""

from linedeal.audit.rules import RULES, Breach, find_breaches
from linedeal.audit.traffic import Traffic, reconstruct_traffic

__all__ = ["RULES", "Breach", "Traffic", "reconstruct_traffic", "find_breaches"]
