# A faulty controller removes every table entry: the check must report a violation of
# "no forwarder left bare", and the command ends with status 1.
like = "../lib/base.hcl"

day "faulty-empty-table" {
  about     = "a faulty controller removes every table entry"
  length    = "12s"
  seed      = 31
  governors = ["govan"]
  rogue     = "empty-table"
}

