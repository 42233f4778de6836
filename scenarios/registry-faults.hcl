# While replicas drain, vanish and slow down, the registry fails, does not answer, answers late, truncates its answers
# and decreases its index. Load reports are late too.
like = "lib/base.hcl"

day "registry-faults" {
  about     = "the registry fails in several ways while replicas drain; load reports are two seconds late"
  length    = "45s"
  seed      = 19
  governors = ["govan", "springburn"]
}

step "list_down" {
  at    = "5s"
  lasts = "5s"
}
step "vanish" {
  at    = "6s"
  lasts = "10s"
  part  = 0.1
}
step "list_half" {
  at    = "13s"
  lasts = "2s"
}
step "list_back" {
  at    = "16s"
  lasts = "3s"
}
step "drain" {
  at    = "17s"
  lasts = "10s"
  part  = 0.2
}
step "list_late" {
  at    = "20s"
  lasts = "4s"
  size  = 0.7
}
step "sums_late" {
  at    = "22s"
  lasts = "15s"
  size  = 2
}
step "list_silent" {
  at    = "28s"
  lasts = "4s"
}
step "slow" {
  at    = "30s"
  lasts = "8s"
  part  = 0.2
  size  = 4
}
