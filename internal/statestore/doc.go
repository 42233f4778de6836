// Package store keeps in a folder what a governor must know after a restart: the number of its life, the last machine
// list that it was given, the tables that it last published, and a bounded part of its journal of causes.
//
// Guarantees: the number of a life only grows, whatever of the folder is lost, as long as the clock does not go back.
// A cut at any byte of a write leaves the older state or the newer one. Each value carries a checksum of its own and is never
// used if it does not add up. A damaged state is told from an old one and from one of a newer form: what can be trusted of
// the first is carried over and the file kept beside it, the second is carried over whole, the third is refused and left as it
// is. One process has a folder at a time.
//
// How: one bbolt file. It is read once at each start, without trusting its inner structure beyond what the checksums cover
// (its free list is never read), and written anew under another name, which then takes its place. A start thus
// also counts the life, clears out what writes have left and carries older forms over, all in one rename.
//
// Caveats: values are written behind the decisions (see Writer): a cut loses what came in the last part of a second. The lock is the
// kernel's (flock): it ends with the process and does not reach over network file systems. A start writes the file once more, so it
// takes as long as the disk takes for causesBytes at most.
package statestore
