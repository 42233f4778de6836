# A governor that is none of ours takes every line back: the checker must say "no forwarder left bare" and the day end with status 1.
like = "../lib/town.hcl"

day "broken-empty-table" {
  about     = "a rogue governor takes every line back"
  length    = "12s"
  seed      = 31
  governors = ["govan"]
  rogue     = "empty-table"
}

