zones = {}
governor "a" {
  listen = {}
  state = {}
  seed = {}
  log = {}
  farewell = {}
}
operation "x" {
  objective = {}
  timeout = {}
  billed_value = {}
  effect = {}
}
operation "y" {
  objective = {}
  timeout = {}
  effect = "fingerprinted"
  window = {}
}
fleet {
  forwarders = {}
  standing = {}
  connections_least = {}
  avoids = {}
  admits = {}
  crossing_price = {}
  order_price = {}
  load_report = {}
  usual_way = {}
  first_wait = {}
}
rules {
  bare = {}
  drain_grace = {}
  cold = {}
  cold_share = {}
  tip_factor = {}
  tip_span = {}
  must_ask_in = {}
}
channel {
  pace = {}
  queue = {}
  overhead = {}
  period = {}
  messages_most = {}
  messages_within = {}
  intake = {}
  connections = {}
  observers = {}
  unsent_all_bytes = {}
  commands = {}
  commands_burst = {}
  unsent_bytes = {}
  greeting = {}
  joins = {}
  joins_burst = {}
  joined_most = {}
}
console {
  listen = {}
}
group {
  listen = {}
  gossip = {}
  zone = {}
  join = {}
  parts = {}
  span = {}
  drift = {}
  settle = {}
  pace = {}
  limit = {}
  member "a" {
    address = {}
    gossip = {}
  }
}
machine_list "consul" {
  address = {}
  service = {}
  wait = {}
  slack = {}
}
