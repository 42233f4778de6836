# A spring Saturday with a hall lost: forty forwarders, two governors, four halls. One hall dies with its recipe
# servers, forwarders and governor, and comes back cold.
like = "lib/town.hcl"

day "hall-lost" {
  about     = "a hall is lost with its forwarders and governor and comes back cold"
  length    = "40s"
  seed      = 7
  governors = ["govan", "partick"]
}

step "zone_loss" {
  at    = "12s"
  lasts = "10s"
  zone  = "partick"
}
