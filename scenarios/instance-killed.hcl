# The only instance is killed twice under load and restarts with only its stored endpoint list. Some replicas begin to
# drain while the instance is down, and others right after its restart. The instance is in safe mode then: proxies keep
# their standing tables, and the instance still publishes drains.
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
