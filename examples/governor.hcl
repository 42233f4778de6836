# An instance for manual tests with the stand-ins in this folder; see docs/running.md.
governor "govan-1" {
  listen = "127.0.0.1:7700"
  state  = "/tmp/peppervale-govan-1"
}

console {
  listen = "127.0.0.1:7780"
}

zones = ["govan", "partick"]

operation "recipe-read" {
  objective = "500ms"
  timeout   = "1200ms"
  effect    = "idempotent"
}

fleet {
  forwarders  = 2
  load_report = ["util"]
}

rules {
}

channel {
  pace  = 3000
  queue = 6000
}

machine_list "consul" {
  address = "127.0.0.1:7500"
  service = "recipe"
}
