// Package config reads the program's configuration: HCL files (server.go defines the file of an instance; the block
// reader is also used for other kinds of files) and the JSON file of the operators' platform (platform.go).
//
// Guarantees: a file is accepted completely or not at all. Each error is an Error, which names the file, the position
// and the field, and states the accepted values. All errors of an HCL file are reported together.
package config
