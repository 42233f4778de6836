# A spring Saturday: three governors share the fleet out. One is killed and comes back; its parts are taken over and go home.
like = "lib/town.hcl"

day "takeover" {
  about     = "one of three governors that share the fleet is killed and is back ten seconds later"
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
