registry {
  listen = {}
  service = {}
  fails = {}
  silent = {}
  late = {}
}
entry "127.0.0.1:7601" {
  zone = {}
  bay = {}
  kind = {}
  started_ms = {}
  draining = {}
}
