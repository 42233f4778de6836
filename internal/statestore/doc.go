// Package statestore keeps on disk what an instance must know after a restart: its incarnation number, the last
// endpoint list that it received, the tables that it last published, and a bounded decision log.
//
// Guarantees: the incarnation number only grows, whichever part of the stored state is lost, as long as the clock
// does not go back. A crash at any byte of a write leaves either the previous state or the new one. Each value
// carries its own checksum and is not used if the checksum does not match. Damaged state, state of an earlier schema
// version and state of a later one are distinguished: the usable part of damaged state is recovered and the file is
// kept beside the new one, an earlier schema version is migrated completely, and a later one is refused and left
// untouched. One process uses a directory at a time.
//
// Implementation: one bbolt file. It is read once at each start, without trusting its inner structure beyond what the
// checksums cover (its free list is never read), and rewritten under another name, which then replaces it. A start
// therefore also counts the incarnation, reclaims free pages and migrates earlier schema versions, all in one rename.
//
// Limits: values are written after the decisions that they record (see Writer), so a crash loses the last fraction of a
// second. The lock is the kernel's (flock): it ends with the process and does not reach over network file systems. A
// start rewrites the file, so it takes as long as the disk needs for maxDecisionBytes at most.
package statestore
