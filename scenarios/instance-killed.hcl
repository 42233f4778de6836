# The only instance is killed under load, twice, and restarts with its stored endpoint list only. Replicas begin to
# drain while it is down, and others right after it is back. It is in safe mode then: standing tables stay in use, and
# drains are still published.
like = "lib/base.hcl"

day "instance-killed" {
  about     = "the only instance is killed twice under load and restarts with its stored endpoint list; replicas drain"
  length    = "40s"
  seed      = 11
  governors = ["govan"]
}

step "governor_crash" {
  at    = "10s"
  lasts = "3s"
}
step "drain" {
  at    = "11s"
  lasts = "12s"
  part  = 0.2
}
step "governor_crash" {
  at    = "22s"
  lasts = "1s"
}
step "drain" {
  at    = "24s"
  lasts = "10s"
  part  = 0.2
}
