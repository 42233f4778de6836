operation "x" {
  unheard_of = 1
}
operation "y" {
  effect = "fingerprinted"
  unheard_of = 1
}
replica {
  unheard_of = 1
}
unheard_of {
}
