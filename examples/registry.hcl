# The machine list; edit it while it runs (draining = true, an entry more).
registry {
  listen  = "127.0.0.1:7500"
  service = "recipe"
}

entry "127.0.0.1:7601" {
  zone = "govan"
}
