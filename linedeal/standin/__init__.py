"""Stand-ins for what stands outside: hosts and the list of hosts. Simulated: nothing is really run."""
