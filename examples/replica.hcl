operation "recipe-read" {
  objective = "500ms"
  timeout   = "1200ms"
  effect    = "idempotent"
}

replica {
  listen = "127.0.0.1:7601"
  zone   = "govan"
}
