zones = {}
day "a" {
  about = {}
  length = {}
  seed = {}
  governors = {}
  rogue = {}
  shared = {}
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
replicas {
  each_zone = {}
  cores = {}
  waiting = {}
  connections = {}
  bay_size = {}
  speed_from = {}
  speed_to = {}
  cold_share = {}
  cold_span = {}
  report_every = {}
  handshake = {}
}
forwarders {
  each_zone = {}
  ejects = {}
  client_tries = {}
  pick = {}
  redial = {}
  eject_for = {}
  backoff = {}
  stall_line = {}
  rate_spread = {}
}
list {
  notice = {}
  silent_notice = {}
  add = {}
}
load {
  rate = {}
  work "x" {
    share = {}
    mean = {}
    spread = {}
  }
}
step "kill" {
  at = {}
  lasts = {}
  zone = {}
  part = {}
  size = {}
  number = {}
  silent = {}
  group = {}
}
