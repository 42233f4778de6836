# A faulty controller gives a started replica nearly all traffic at once: the check must report a violation of
# "no cold replica pushed over", and the command ends with status 1.
like = "../lib/base.hcl"

day "faulty-full-to-cold" {
  about     = "a faulty controller gives a started replica nearly all traffic at once"
  length    = "12s"
  seed      = 31
  governors = ["govan"]
  rogue     = "full-to-cold"
}

step "grow" {
  at     = "5s"
  number = 1
}
