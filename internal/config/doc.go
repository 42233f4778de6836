// Package config reads the program's configuration: HCL files (server.go says what an instance is started with; the
// block reader serves files of other kinds too) and the JSON that the operators' platform hands over (platform.go).
//
// Guarantees: a file is accepted completely or not at all. Each error is an Error, which names the file, the place and
// the field, and says what is accepted instead; all errors of an HCL file are reported at once.
package config
