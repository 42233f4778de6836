# A faulty controller orders retries after any failure: the check must report a violation of
# "no effect twice", and the command ends with status 1.
like = "../lib/base.hcl"

day "faulty-repeats-anything" {
  about     = "a faulty controller orders retries after any failure"
  length    = "12s"
  seed      = 31
  governors = ["govan"]
  rogue     = "repeats-anything"
}

step "slow" {
  at    = "4s"
  lasts = "6s"
  part  = 0.8
  size  = 8
}
