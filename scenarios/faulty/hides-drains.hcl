# A faulty controller never withdraws draining replicas: the check must report a violation of
# "drains within the grace", and the command ends with status 1.
like = "../lib/base.hcl"

day "faulty-hides-drains" {
  about     = "a faulty controller never withdraws draining replicas"
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
