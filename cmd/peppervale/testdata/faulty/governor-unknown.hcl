zones = ["govan"]
governor "a" {
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
console {
  unheard_of = 1
}
group {
  unheard_of = 1
  member "a" {
    unheard_of = 1
  }
}
machine_list "consul" {
  unheard_of = 1
}
unheard_of {
}
