zones = {}
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
forwarder "f" {
  zone = {}
  rate = {}
  pick = {}
  redial = {}
  governors = {}
  standing = {}
  work = {}
  seed = {}
}
