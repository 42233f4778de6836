registry {
  unheard_of = 1
}
entry "127.0.0.1:7601" {
  unheard_of = 1
}
unheard_of {
}
