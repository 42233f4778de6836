# A governor that is none of ours gives a started replica nearly all traffic at once: the checker must say "no cold replica pushed over" and the day end with status 1.
like = "../lib/town.hcl"

day "broken-full-to-cold" {
  about     = "a rogue governor gives a started replica nearly all traffic at once"
  length    = "12s"
  seed      = 31
  governors = ["govan"]
  rogue     = "full-to-cold"
}

step "grow" {
  at     = "5s"
  number = 1
}
