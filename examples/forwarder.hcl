zones = ["govan", "partick"]

operation "recipe-read" {
  objective = "500ms"
  timeout   = "1200ms"
  effect    = "idempotent"
}

forwarder "till-1" {
  zone      = "govan"
  governors = ["127.0.0.1:7700"]
  standing  = ["127.0.0.1:7601"]
  rate      = 5
}
