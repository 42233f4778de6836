// Package daemon puts a governor together: state folder, host, channel, machine list and console, from one file, and takes
// it apart again in order. One mechanism a file: serve.go the order of it, archive.go what goes to disk behind the decisions,
// reload.go a file read again in service, log.go the threshold of the log.
//
// Guarantees: what decides never waits for the disk. A file that cannot be taken in service changes nothing. At the end forwarders are
// told to go elsewhere in parts, within the file's farewell, and what is pending is put down.
//
// Caveats: at a kill the last quarter of a second of the journal, and a list that came within it, are lost; a restart then begins with the
// list before.
package server
