# A governor is killed outright under load, twice, and starts again with its last list only. A drain is told while it is
# away and another one right after it is back: its gate holds, standing tables stay, drains still go out.
like = "lib/town.hcl"

day "governor-killed" {
  about     = "a governor is killed twice under load and starts with its last list; drains go on"
  length    = "40s"
  seed      = 11
  governors = ["govan"]
}

step "governor_crash" {
  at    = "10s"
  lasts = "3s"
}
step "drain" {
  at    = "11s"
  lasts = "12s"
  part  = 0.2
}
step "governor_crash" {
  at    = "22s"
  lasts = "1s"
}
step "drain" {
  at    = "24s"
  lasts = "10s"
  part  = 0.2
}
