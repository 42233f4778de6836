# Many faults at once: slow replicas, false load reports, noisy neighbors, costly requests, a failing operation, ageing
# replicas, growth and stalled instances.
like = "lib/base.hcl"

day "rough" {
  about     = "slow, misreporting, noisy, failing and ageing replicas, costly requests, growth, stalled instances"
  length    = "50s"
  seed      = 29
  governors = ["govan", "partick"]
}

step "slow" {
  at    = "4s"
  lasts = "10s"
  part  = 0.2
  size  = 4
}
step "false_reports" {
  at    = "4s"
  lasts = "14s"
  part  = 0.2
}
step "neighbour" {
  at    = "10s"
  lasts = "12s"
  part  = 0.3
  size  = 2.5
}
step "governor_stall" {
  at    = "14s"
  lasts = "3s"
  part  = 0.5
}
step "class_fail" {
  at    = "18s"
  lasts = "8s"
  part  = 0.15
  group = "batch-log"
}
step "heavy_tail" {
  at    = "22s"
  lasts = "8s"
  part  = 0.02
  size  = 10
}
step "flapping" {
  at    = "26s"
  lasts = "8s"
  part  = 0.1
}
step "ageing" {
  at    = "28s"
  lasts = "10s"
  part  = 0.15
  size  = 6
}
step "conn_squeeze" {
  at     = "34s"
  lasts  = "6s"
  number = 12
}
step "handshake_slow" {
  at    = "34s"
  lasts = "6s"
  size  = 4
}
step "grow" {
  at     = "40s"
  number = 1
}
