like = "../../../../scenarios/lib/base.hcl"
day "a" {
  length    = "20s"
  governors = ["nowhere"]
  rogue     = "kind"
  shared    = true
  parts     = {}
  lease     = {}
  settle    = {}
  pace      = {}
}
step "boredom" {
  at = "1s"
}
step "zone_loss" {
  at   = "21s"
  zone = "nowhere"
}
step "zone_loss" {
  at = "1s"
}
