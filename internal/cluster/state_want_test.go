package cluster

import _ "embed"

// The values in the directory of each member in testdata/folders, under their CBOR names. They are literals: if a value
// is decoded differently, running clusters lose it.

// wantVotes is raft's term and vote in the log store.
const wantVotes = `term 2, voted in 2 for 127.0.0.1:36307`

// wantLog is the log, with a line for each entry.
//
//go:embed testdata/expected/log.txt
var wantLog string

// wantMeta is the position of the snapshot in the log, and the voters at that time.
const wantMeta = `index 24 term 2 m0=127.0.0.1:39375(Voter) m1=127.0.0.1:44967(Voter) m2=127.0.0.1:36307(Voter)`

// wantSnapshot is the state in the snapshot.
//
//go:embed testdata/expected/snapshot.txt
var wantSnapshot string

// wantReplayed is the state after the log entries that follow the snapshot.
//
//go:embed testdata/expected/replayed.txt
var wantReplayed string

// wantEvents is the number of takeovers, and wantEpochs are the epochs of the shards, in the newest state of the
// directories.
const wantEvents = 10

var wantEpochs = [6]uint64{4, 1, 1, 2, 1, 1}
