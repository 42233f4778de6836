# Streams break repeatedly, twice all forty at once. Some proxies stall, some send no acknowledgments, and some cannot
# reach their first instance.
like = "lib/base.hcl"

day "reconnects" {
  about     = "all streams break at once, repeatedly; some proxies stall, never acknowledge or lose an instance"
  length    = "30s"
  seed      = 13
  governors = ["govan", "dalmarnock"]
}

step "reconnect" {
  at   = "3s"
  part = 0.5
}
step "forwarder_stall" {
  at     = "6s"
  part   = 0.2
  size   = 1
  number = 6
}
step "never_ack" {
  at    = "6s"
  lasts = "12s"
  part  = 0.1
}
step "reconnect" {
  at   = "10s"
  part = 1
}
step "drain" {
  at    = "10s"
  lasts = "8s"
  part  = 0.2
}
step "reconnect" {
  at   = "11s"
  part = 1
}
step "one_sided" {
  at    = "18s"
  lasts = "6s"
  part  = 0.3
}
