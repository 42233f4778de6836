# A faulty controller sends every entry to every proxy repeatedly: the check must report a violation of
# "short queue", and the command ends with status 1.
like = "../lib/base.hcl"

day "faulty-floods" {
  about     = "a faulty controller sends every entry to every proxy repeatedly"
  length    = "12s"
  seed      = 31
  governors = ["govan"]
  rogue     = "floods"
}

