# examples/cluster.hcl with work on behalf of the fleet: docs/council.md and docs/campaign.md. The addresses are put in
# place by whoever plays it: `linedeal day examples/release.day`.

cluster {
  controllers    = 4            # how many share the hosts; each keeps the rules alone
  accepts_cores  = 2.0          # a host accepts until its jobs ask for this multiple of its cores
  accepts_memory = 1.5          # ... or of its memory
  confirms       = "accepted"   # hosts say yes at acceptance; or "running": at the start
  host_price     = 0            # over 0: hosts in use cost something, fewer are filled fuller
  ask_within     = 10           # seconds after which a controller that does not watch counts as told
  may_probe      = true
  max_launches   = 6
}

young {
  time   = 10                   # seconds for which a host that has started is young
  offers = 20                   # offers it always bears, from all controllers together,
  span   = 3                    # within so many seconds
}

rules {
  answer_slack = 0.5            # seconds after a job's expiry within which its answer is in time
  drain_grace  = 1.0            # seconds from hearing of a drain to the last launch there
}

limits {
  held        = 20000           # jobs taken and not yet answered
  clients     = 500             # links from clients
  retry_after = 1.0             # seconds, told to who is turned away
}

kind "std" {
  cores  = 16
  memory = 64
}

kind "press" {
  cores  = 24
  memory = 96
}

offering "course-reader" {
  expiry = 6
  value  = 1.0
  effect = "redoable"
  calm   = 0.85                 # served in full while cores are busy up to this share
  fade   = 0.3                  # ... and not at all this much further up
}

offering "photo-book" {
  expiry = 8
  value  = 2.0
  effect = "labelled"           # repeats are known by a mark,
  group  = "zone"               # within one zone,
  window = 6                    # for so many seconds
  calm   = 0.85
  fade   = 0.3
  spread = "host"               # at most two jobs of a service on one host
  most   = 2
}

offering "press-feed" {
  expiry = 8
  value  = 4.0
  effect = "irreversible"
  kind   = "press"
  calm   = 0.8
  fade   = 0.2
}

customer "school"    { cores = 120 }
customer "publisher" { cores = 160 }
customer "shop"      { cores = 80 }

council {
  id    = "lapa"
  lease = 3                     # seconds a duty stays with an owner that is silent
}

member "c1" {
  address = "council-c1:1"
}

member "c2" {
  address = "council-c2:1"
}

member "c3" {
  address = "council-c3:1"
}

campaign {
  tool     = "tool:1"           # the operators' tool that replaces hosts
  most     = 3                  # hosts out at once,
  cells    = 2                  # of so many cells,
  room     = 0.34               # and of this share of each kind
  patience = 8                  # seconds for a drain; irreversible jobs are waited for without end
  warm     = 2                  # age at which a successor counts
  away     = 20
  strain   = 0.6                # share of launches turned away, or of jobs that still wait, at which it pauses
}
