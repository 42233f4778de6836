like = "nowhere.hcl"
day "a" {
}
