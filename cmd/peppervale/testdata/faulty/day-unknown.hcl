zones = ["govan"]
day "a" {
  unheard_of = 1
}
operation "x" {
  unheard_of = 1
}
operation "y" {
  effect = "fingerprinted"
  unheard_of = 1
}
fleet {
  unheard_of = 1
}
rules {
  unheard_of = 1
}
channel {
  unheard_of = 1
}
replicas {
  unheard_of = 1
}
forwarders {
  unheard_of = 1
}
list {
  unheard_of = 1
}
load {
  unheard_of = 1
  work "x" {
    unheard_of = 1
  }
}
step "kill" {
  unheard_of = 1
}
unheard_of {
}
