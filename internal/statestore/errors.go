package statestore

import (
	"errors"
	"fmt"
)

// Errors that callers match with errors.Is. Open returns ErrLocked and ErrNewerSchema; each entry of Recovered.Damage
// matches ErrDamaged.
var (
	ErrDamaged     = errors.New("damaged")                   // a value or a file failed its checks
	ErrLocked      = errors.New("in use by another process") // another process holds the lock of the state directory
	ErrNewerSchema = errors.New("of a newer form")           // a later program version wrote the state file
)

// Causes of damage that are not errors of the disk or of bbolt.
var (
	errChecksum           = errors.New("its checksum does not match")
	errMissingIncarnation = errors.New("the incarnation number is missing")
	errMissingBucket      = errors.New("a bucket is missing")
)

// DamageError describes an unusable part of the stored state. It matches ErrDamaged and its Cause.
type DamageError struct {
	Location string // file, or file and key
	Cause    error  // reason that it cannot be used; nil if no more is known
}

// Error names the location and the cause.
func (e *DamageError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Location, ErrDamaged)
	}
	return fmt.Sprintf("%s: %s: %s", e.Location, ErrDamaged, e.Cause)
}

// Unwrap returns ErrDamaged and the cause.
func (e *DamageError) Unwrap() []error {
	if e.Cause == nil {
		return []error{ErrDamaged}
	}
	return []error{ErrDamaged, e.Cause}
}

// LockedError reports that another process uses the state directory. It matches ErrLocked.
type LockedError struct {
	Dir string
}

// Error names the directory and suggests a remedy.
func (e *LockedError) Error() string {
	return fmt.Sprintf("state directory %s: %s; end that one, or name another directory", e.Dir, ErrLocked)
}

// Unwrap returns ErrLocked.
func (e *LockedError) Unwrap() error { return ErrLocked }

// NewerSchemaError reports that a later version of the program wrote the state file. It matches ErrNewerSchema.
type NewerSchemaError struct {
	Stored    uint64 // schema version of the file
	Supported uint64 // latest schema version that this program reads
}

// Error names both versions and suggests a remedy.
func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("%s: %s: schema version %d, and this program reads up to %d; "+
		"start the later version, or name another directory", stateFile, ErrNewerSchema, e.Stored, e.Supported)
}

// Unwrap returns ErrNewerSchema.
func (e *NewerSchemaError) Unwrap() error { return ErrNewerSchema }
