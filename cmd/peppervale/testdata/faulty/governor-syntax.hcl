governor "a" {
  listen = "127.0.0.1:0"
}
zones
