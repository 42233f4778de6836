# An hour of frequent faults, to detect slow growth of memory use, of the decision log on disk and of the number of
# streams. Not part of the tests: peppervale scenario run scenarios/hour.hcl takes an hour.
like = "lib/base.hcl"

day "hour" {
  about     = "an hour of releases, restarts and lost zones, to detect slow resource growth"
  length    = "3600s"
  seed      = 11
  governors = ["govan", "partick"]
}

step "drain" {
  at    = "30s"
  lasts = "20s"
  part  = 0.2
}

step "governor_crash" {
  at    = "90s"
  lasts = "1s"
  part  = 0.5
}

step "zone_loss" {
  at    = "150s"
  lasts = "15s"
  zone  = "partick"
}

step "reconnect" {
  at   = "210s"
  part = 0.5
}

step "deploy" {
  at    = "270s"
  lasts = "40s"
  part  = 0.5
}

step "list_down" {
  at    = "330s"
  lasts = "10s"
}

step "governor_roll" {
  at    = "390s"
  lasts = "1s"
  part  = 0.5
}

step "drain" {
  at    = "450s"
  lasts = "20s"
  part  = 0.2
}

step "governor_crash" {
  at    = "510s"
  lasts = "1s"
  part  = 0.5
}

step "zone_loss" {
  at    = "570s"
  lasts = "15s"
  zone  = "partick"
}

step "reconnect" {
  at   = "630s"
  part = 0.5
}

step "deploy" {
  at    = "690s"
  lasts = "40s"
  part  = 0.5
}

step "list_down" {
  at    = "750s"
  lasts = "10s"
}

step "governor_roll" {
  at    = "810s"
  lasts = "1s"
  part  = 0.5
}

step "drain" {
  at    = "870s"
  lasts = "20s"
  part  = 0.2
}

step "governor_crash" {
  at    = "930s"
  lasts = "1s"
  part  = 0.5
}

step "zone_loss" {
  at    = "990s"
  lasts = "15s"
  zone  = "partick"
}

step "reconnect" {
  at   = "1050s"
  part = 0.5
}

step "deploy" {
  at    = "1110s"
  lasts = "40s"
  part  = 0.5
}

step "list_down" {
  at    = "1170s"
  lasts = "10s"
}

step "governor_roll" {
  at    = "1230s"
  lasts = "1s"
  part  = 0.5
}

step "drain" {
  at    = "1290s"
  lasts = "20s"
  part  = 0.2
}

step "governor_crash" {
  at    = "1350s"
  lasts = "1s"
  part  = 0.5
}

step "zone_loss" {
  at    = "1410s"
  lasts = "15s"
  zone  = "partick"
}

step "reconnect" {
  at   = "1470s"
  part = 0.5
}

step "deploy" {
  at    = "1530s"
  lasts = "40s"
  part  = 0.5
}

step "list_down" {
  at    = "1590s"
  lasts = "10s"
}

step "governor_roll" {
  at    = "1650s"
  lasts = "1s"
  part  = 0.5
}

step "drain" {
  at    = "1710s"
  lasts = "20s"
  part  = 0.2
}

step "governor_crash" {
  at    = "1770s"
  lasts = "1s"
  part  = 0.5
}

step "zone_loss" {
  at    = "1830s"
  lasts = "15s"
  zone  = "partick"
}

step "reconnect" {
  at   = "1890s"
  part = 0.5
}

step "deploy" {
  at    = "1950s"
  lasts = "40s"
  part  = 0.5
}

step "list_down" {
  at    = "2010s"
  lasts = "10s"
}

step "governor_roll" {
  at    = "2070s"
  lasts = "1s"
  part  = 0.5
}

step "drain" {
  at    = "2130s"
  lasts = "20s"
  part  = 0.2
}

step "governor_crash" {
  at    = "2190s"
  lasts = "1s"
  part  = 0.5
}

step "zone_loss" {
  at    = "2250s"
  lasts = "15s"
  zone  = "partick"
}

step "reconnect" {
  at   = "2310s"
  part = 0.5
}

step "deploy" {
  at    = "2370s"
  lasts = "40s"
  part  = 0.5
}

step "list_down" {
  at    = "2430s"
  lasts = "10s"
}

step "governor_roll" {
  at    = "2490s"
  lasts = "1s"
  part  = 0.5
}

step "drain" {
  at    = "2550s"
  lasts = "20s"
  part  = 0.2
}

step "governor_crash" {
  at    = "2610s"
  lasts = "1s"
  part  = 0.5
}

step "zone_loss" {
  at    = "2670s"
  lasts = "15s"
  zone  = "partick"
}

step "reconnect" {
  at   = "2730s"
  part = 0.5
}

step "deploy" {
  at    = "2790s"
  lasts = "40s"
  part  = 0.5
}

step "list_down" {
  at    = "2850s"
  lasts = "10s"
}

step "governor_roll" {
  at    = "2910s"
  lasts = "1s"
  part  = 0.5
}

step "drain" {
  at    = "2970s"
  lasts = "20s"
  part  = 0.2
}

step "governor_crash" {
  at    = "3030s"
  lasts = "1s"
  part  = 0.5
}

step "zone_loss" {
  at    = "3090s"
  lasts = "15s"
  zone  = "partick"
}

step "reconnect" {
  at   = "3150s"
  part = 0.5
}

step "deploy" {
  at    = "3210s"
  lasts = "40s"
  part  = 0.5
}

step "list_down" {
  at    = "3270s"
  lasts = "10s"
}

step "governor_roll" {
  at    = "3330s"
  lasts = "1s"
  part  = 0.5
}

step "drain" {
  at    = "3390s"
  lasts = "20s"
  part  = 0.2
}

step "governor_crash" {
  at    = "3450s"
  lasts = "1s"
  part  = 0.5
}
