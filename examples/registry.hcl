# The endpoint registry. It rereads this file while it runs: for example, set draining = true or add an entry.
registry {
  listen  = "127.0.0.1:7500"
  service = "recipe"
}

entry "127.0.0.1:7601" {
  zone = "govan"
}
