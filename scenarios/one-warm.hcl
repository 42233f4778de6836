# All replicas drain but one, which is warm and in a different zone than most proxies.
like = "lib/base.hcl"

day "one-warm" {
  about     = "all replicas drain but a warm one in another zone"
  length    = "25s"
  seed      = 17
  governors = ["govan", "partick"]
}

load {
  rate = 20
  work "recipe-read" {
    share = 0.62
    mean  = "60ms"
  }
  work "batch-log" {
    share = 0.38
    mean  = "90ms"
  }
}

step "drain" {
  at    = "8s"
  lasts = "8s"
  group = "but-one"
}
