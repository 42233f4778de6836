# Three instances share the fleet. One is killed and restarts. The other two take over its shards and hand them back.
like = "lib/base.hcl"

day "takeover" {
  about     = "one of three instances that share the fleet is killed and restarts ten seconds later"
  length    = "40s"
  seed      = 11
  governors = ["govan", "partick", "dalmarnock"]
  shared    = true
}

step "governor_crash" {
  at    = "12s"
  lasts = "10s"
  part  = 0.34
}
