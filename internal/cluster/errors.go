package cluster

import (
	"errors"
	"fmt"
	"strings"
)

// Errors without details.
var (
	// ErrNotLeader answers a proposal that reached a member which does not lead.
	ErrNotLeader = errors.New("this member does not lead")
	// ErrNoLeader answers a request that only a leader can carry out, while none is known.
	ErrNoLeader = errors.New("nobody leads the group: a majority of its members is not there, or they are choosing; " +
		"try again in some seconds")

	errStarting         = errors.New("this member starts")
	errLinkCut          = errors.New("the link is cut")
	errMalformedRequest = errors.New("a request is an array that begins with its name")
	errEmptyLogStore    = errors.New("it is empty")
)

// UnknownMemberError is a request that names a member which is not registered.
type UnknownMemberError struct {
	Name  string
	Known []string
}

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("no member %.60q; there are %s", e.Name, strings.Join(e.Known, ", "))
}

// AbsentMemberError is a request that needs a member which does not renew at present.
type AbsentMemberError struct{ Name string }

func (e *AbsentMemberError) Error() string { return e.Name + " is not here" }

// InvalidRequestError is a request that cannot be carried out whatever the state of the cluster is.
type InvalidRequestError struct{ Reason string }

func (e *InvalidRequestError) Error() string { return e.Reason }

func invalidRequest(format string, values ...any) error {
	return &InvalidRequestError{Reason: fmt.Sprintf(format, values...)}
}

// RemoteError is the error that another member answered a request with.
type RemoteError struct{ Message string }

func (e *RemoteError) Error() string { return e.Message }

// NewerSchemaError says that stored data is of a newer schema version than this program supports.
type NewerSchemaError struct {
	Found     string // what is newer
	Version   uint8
	Supported uint8
}

func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("cluster: %s of schema version %d, this program supports up to %d: update it",
		e.Found, e.Version, e.Supported)
}

// DamagedLogError says that the log store of a member cannot be read. The member must come back under another name.
type DamagedLogError struct {
	Path      string // of the log store
	Directory string // of all that the member has stored
	Cause     error
}

func (e *DamagedLogError) Error() string {
	return fmt.Sprintf("cluster: %s is damaged (%v); its votes and log are lost, so it must come back as another member: "+
		"remove it from the cluster ('peppervale group strike NAME'), move %s away and start it under a new name "+
		"with join = true",
		e.Path, e.Cause, e.Directory)
}

// Unwrap returns what is wrong with the file.
func (e *DamagedLogError) Unwrap() error { return e.Cause }

// noAddressError is a raft peer that this member's file does not name.
type noAddressError struct{ name string }

func (e *noAddressError) Error() string {
	return fmt.Sprintf("no address of %s in this member's file", e.name)
}

// pageFaultError is a fault of memory while a mapped file was read.
type pageFaultError struct{ fault any }

func (e *pageFaultError) Error() string { return fmt.Sprint(e.fault) }

// truncatedError is a file that is shorter than its first pages say.
type truncatedError struct{ want, got int64 }

func (e *truncatedError) Error() string {
	return fmt.Sprintf("it should have %d bytes and has %d", e.want, e.got)
}
