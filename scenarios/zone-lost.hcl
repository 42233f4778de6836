# Forty proxies, two instances, four zones. One zone is lost with its replicas, proxies and instance, and restarts cold.
like = "lib/base.hcl"

day "zone-lost" {
  about     = "a zone is lost with its proxies and instance and restarts cold"
  length    = "40s"
  seed      = 7
  governors = ["govan", "partick"]
}

step "zone_loss" {
  at    = "12s"
  lasts = "10s"
  zone  = "partick"
}
