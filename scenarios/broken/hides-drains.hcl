# A governor that is none of ours never withdraws what drains: the checker must say "drains within the grace" and the day end with status 1.
like = "../lib/town.hcl"

day "broken-hides-drains" {
  about     = "a rogue governor never withdraws what drains"
  length    = "12s"
  seed      = 31
  governors = ["govan"]
  rogue     = "hides-drains"
}

step "drain" {
  at    = "4s"
  lasts = "8s"
  part  = 0.3
}
