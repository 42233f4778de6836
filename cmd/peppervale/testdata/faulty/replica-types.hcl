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
replica {
  listen = {}
  zone = {}
  bay = {}
  cores = {}
  speed = {}
  waiting = {}
  connections = {}
  cold_share = {}
  cold_span = {}
  report_every = {}
  cold = {}
}
