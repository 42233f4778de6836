# A governor that is none of ours sends every line to everybody again and again: the checker must say "short queue" and the day end with status 1.
like = "../lib/town.hcl"

day "broken-floods" {
  about     = "a rogue governor sends every line to everybody again and again"
  length    = "12s"
  seed      = 31
  governors = ["govan"]
  rogue     = "floods"
}

