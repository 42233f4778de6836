# Governors that share the fleet out are killed over and over, at moments drawn by chance: no rule may break, and no effect come twice.
# For measurements: eleven minutes.
like = "lib/town.hcl"

day "kills" {
  about     = "one of three governors that share the fleet is killed a hundred times, at any moment"
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
