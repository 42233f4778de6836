# The endpoint registry. It reloads this file when it changes: for example, set draining = true or add an entry.
registry {
  listen  = "127.0.0.1:7500"
  service = "recipe"
}

entry "127.0.0.1:7601" {
  zone = "govan"
}
