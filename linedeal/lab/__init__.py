"""Test clusters, load and fault injection: plays days against the real controller, in processes or in memory.

The traffic of a day is recorded, for the audit to judge.
"""
