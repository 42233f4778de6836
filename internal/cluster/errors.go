package cluster

import (
	"errors"
	"fmt"
	"strings"
)

// Errors without parameters.
var (
	// ErrNotLeader rejects a proposal to a member that is not the leader.
	ErrNotLeader = errors.New("this member does not lead")
	// ErrNoLeader rejects a request that only the leader can execute while no leader is known.
	ErrNoLeader = errors.New("nobody leads the group: a majority of its members is not there, or they are choosing; " +
		"try again in some seconds")

	errForeignShape     = errors.New("no snapshot: the settings that the group was begun with are not known here")
	errStarting         = errors.New("this member starts")
	errLinkCut          = errors.New("the link is cut")
	errMalformedRequest = errors.New("a request is an array that begins with its name")
	errEmptyLogStore    = errors.New("the file is empty")
)

// UnknownMemberError rejects a request that names a member which is not registered.
type UnknownMemberError struct {
	Name  string
	Known []string
}

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("no member %.60q; there are %s", e.Name, strings.Join(e.Known, ", "))
}

// AbsentMemberError rejects a request that needs a member which is not renewing its leases.
type AbsentMemberError struct{ Name string }

func (e *AbsentMemberError) Error() string { return e.Name + " is not here" }

// InvalidRequestError rejects a request that is invalid in every state of the cluster.
type InvalidRequestError struct{ Reason string }

func (e *InvalidRequestError) Error() string { return e.Reason }

func invalidRequest(format string, values ...any) error {
	return &InvalidRequestError{Reason: fmt.Sprintf(format, values...)}
}

// RemoteError is the error reply of another member.
type RemoteError struct{ Message string }

func (e *RemoteError) Error() string { return e.Message }

// NewerSchemaError reports stored data of a newer schema version than this program supports.
type NewerSchemaError struct {
	Found     string // the data of the newer version
	Version   uint8
	Supported uint8
}

func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("cluster: %s of schema version %d, this program supports up to %d: update it",
		e.Found, e.Version, e.Supported)
}

// DamagedLogError reports that the log store of a member cannot be read. The member must rejoin under another name.
type DamagedLogError struct {
	Path      string // of the log store
	Directory string // of all stored data of the member
	Cause     error
}

func (e *DamagedLogError) Error() string {
	return fmt.Sprintf("cluster: log store %s is damaged (%v); its votes and log are lost, so the member must rejoin: "+
		"remove it from the cluster ('peppervale group strike NAME'), move %s away and start it under a new name "+
		"with join = true",
		e.Path, e.Cause, e.Directory)
}

// Unwrap returns the error found in the file.
func (e *DamagedLogError) Unwrap() error { return e.Cause }

// noAddressError reports a raft peer that this member's configuration file does not list.
type noAddressError struct{ name string }

func (e *noAddressError) Error() string {
	return fmt.Sprintf("member %s has no address in this member's configuration file", e.name)
}

// pageFaultError reports a memory fault while a mapped file was read.
type pageFaultError struct{ fault any }

func (e *pageFaultError) Error() string { return fmt.Sprint(e.fault) }

// truncatedError reports a file that is shorter than its first pages state.
type truncatedError struct{ want, got int64 }

func (e *truncatedError) Error() string {
	return fmt.Sprintf("the file should have %d bytes but has %d", e.want, e.got)
}
