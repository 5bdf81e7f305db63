"""Fleet-wide work with one owner at a time, called duties. The package does no I/O and reads no clock.

`duty` defines the stored record of a duty and its transitions, `holder` is one controller's state machine for
acquiring and renewing the lease, and `fence` holds the check of fencing tokens wherever an effect is carried
out. `census` sums up the controllers' reports; `campaign` and `campaign_runner` decide the steps of a rolling
replacement of hosts. docs/council.md explains which guarantee rests on which of these.
"""
