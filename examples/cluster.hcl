# A cluster of four controllers. Every key that stands here is read; keys left out take the values that
# docs/operating.md lists. `linedeal check-config examples/cluster.hcl` names all faults at once.

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
