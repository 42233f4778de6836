# A release replaces four fifths of the replicas, three at a time, under load, while the instances restart in turn.
like = "lib/base.hcl"

day "release" {
  about     = "a release replaces most replicas in turn while the instances restart"
  length    = "45s"
  seed      = 23
  governors = ["govan", "partick"]
}

step "deploy" {
  at     = "5s"
  lasts  = "30s"
  part   = 0.8
  number = 3
  size   = 3
}
step "governor_roll" {
  at    = "12s"
  lasts = "10s"
  part  = 1
}
