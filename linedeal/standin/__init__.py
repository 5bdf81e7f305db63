"""Simulated counterparts of a controller: hosts, discovery and the operators' tool. No job is really run."""
