# One of three instances that share the fleet is killed a hundred times at random times. Every invariant must hold. The
# scenario is for measurements and takes eleven minutes.
like = "lib/base.hcl"

day "kills" {
  about     = "one of three instances that share the fleet is killed a hundred times at random times"
  length    = "640s"
  seed      = 5
  governors = ["govan", "partick", "dalmarnock"]
  shared    = true
  settle    = "1s"
  pace      = "200ms"
}

step "governor_crash" {
  at     = "10s"
  lasts  = "2500ms"
  part   = 0.34
  number = 100
  size   = 6
}
