zones = ["govan"]
operation "x" {
  unheard_of = 1
}
operation "y" {
  effect = "fingerprinted"
  unheard_of = 1
}
forwarder "f" {
  unheard_of = 1
}
unheard_of {
}
