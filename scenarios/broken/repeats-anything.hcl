# A governor that is none of ours orders further tries after any failure: the checker must say "no effect twice" and the day end with status 1.
like = "../lib/town.hcl"

day "broken-repeats-anything" {
  about     = "a rogue governor orders further tries after any failure"
  length    = "12s"
  seed      = 31
  governors = ["govan"]
  rogue     = "repeats-anything"
}

step "slow" {
  at    = "4s"
  lasts = "6s"
  part  = 0.8
  size  = 8
}
