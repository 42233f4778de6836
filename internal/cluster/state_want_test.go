package cluster

import _ "embed"

// The values in the directory of each member in testdata/folders, under their names in CBOR. They are literals:
// a value that is read otherwise is lost to groups that run already.

// wantVotes is what raft keeps beside its log.
const wantVotes = `term 2, voted in 2 for 127.0.0.1:36307`

// wantLog is the log: a line for each entry.
//
//go:embed testdata/expected/log.txt
var wantLog string

// wantMeta is where the snapshot lies in the log, and who voted then.
const wantMeta = `index 24 term 2 m0=127.0.0.1:39375(Voter) m1=127.0.0.1:44967(Voter) m2=127.0.0.1:36307(Voter)`

// wantSnapshot is the state in the snapshot.
//
//go:embed testdata/expected/snapshot.txt
var wantSnapshot string

// wantReplayed is the state after the log behind the snapshot.
//
//go:embed testdata/expected/replayed.txt
var wantReplayed string

// wantEvents and wantEpochs are of the newest state in the directories: its takeovers, and the epoch of each shard.
const wantEvents = 10

var wantEpochs = [6]uint64{4, 1, 1, 2, 1, 1}
