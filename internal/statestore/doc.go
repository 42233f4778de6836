// Package statestore stores on disk the data that an instance needs after a restart: its incarnation number, the last
// endpoint list that it received, the tables that it last published, and a bounded decision log.
//
// Guarantees: the incarnation number always increases, even if any part of the stored state is lost, as long as the
// clock does not go back. A crash at any byte of a write leaves either the previous state or the new one. Each value
// has its own checksum and is not used if the checksum does not match. Open treats damaged state, an earlier schema
// version and a later schema version differently: it recovers the usable part of damaged state and keeps the damaged
// file under another name, migrates an earlier schema version completely, and refuses a later one without changing it.
// Only one process uses a directory at a time.
//
// Implementation: one bbolt file. Open reads it once, without trusting its internal structure beyond the data that the
// checksums cover (the free list is never read), writes its content to a new file, and renames the new file over the
// old one. Incrementing the incarnation, reclaiming free pages and migrating earlier schema versions are part of this
// rename.
//
// Limits: the writer stores changes after they have taken effect (see Writer), so a crash loses the last fraction of a
// second. The lock is a kernel lock (flock): the kernel releases it when the process ends, and it does not work across
// network file systems. Open rewrites the file, so it takes as long as the disk needs to write maxDecisionBytes at
// most.
package statestore
