# The base of all scenarios: four zones, forty proxies, twenty replicas, the settings of the stand-ins and the limits of
# the invariants. A scenario inherits it with  like = "lib/base.hcl"  and overrides the settings that differ.
zones = ["govan", "partick", "dalmarnock", "springburn"]

operation "recipe-read" {
  objective    = "500ms"
  timeout      = "1200ms"
  billed_value = 1
  effect       = "idempotent"
}

operation "batch-log" {
  objective    = "750ms"
  timeout      = "2s"
  billed_value = 3
  effect       = "fingerprinted"
  window       = "1200ms"
}

fleet {
  forwarders        = 40
  standing          = 6
  connections_least = 200
  load_report       = ["util"]
  crossing_price    = 0.08
  order_price       = 0.02
  usual_way         = "when-unrun"
  first_wait        = 0.8
}

rules {
  bare        = "2600ms"
  drain_grace = "2500ms"
  cold        = "10s"
  cold_share  = 0.25
  tip_factor  = 4
  tip_span    = "3s"
}

channel {
  pace     = 3000
  queue    = 6000
  overhead = 6
  period   = "1s"
  intake   = 150
}

replicas {
  each_zone   = 5
  cores       = 2
  waiting     = 20
  connections = 200
  cold_share  = 0.25
  cold_span   = "8s"
  bay_size    = 3
}

forwarders {
  each_zone    = 10
  pick         = "pair"
  redial       = "150ms"
  client_tries = 2
  backoff      = "100ms"
}

list {
  notice        = "1s"
  silent_notice = "6s"
  add           = "500ms"
}

load {
  rate = 150
  work "recipe-read" {
    share  = 0.62
    mean   = "120ms"
    spread = 0.6
  }
  work "batch-log" {
    share  = 0.38
    mean   = "180ms"
    spread = 0.6
  }
}

