# A governor to try by hand, with the stand-ins beside it; see docs/running.md.
governor "govan-1" {
  listen = "localhost"
  state  = "/tmp/peppervale-govan-1"
}

console {
  listen = "127.0.0.1:7780"
}

zones = ["govan", "govan"]

operation "recipe-read" {
  objective = 500
  timeout   = "soon"
  effect    = "safe"
}

fleet {
  forwarders  = 70000
  load_report = ["util"]
}

rules {
}

channel {
  pace  = 0
  queue = 4.5
}

machine_list "zookeeper" {
  address = "127.0.0.1:0"
  service = "recipe"
}
