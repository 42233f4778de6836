package http1

import "strings"

// Names of header fields, in lower case as in Message.Header.
const (
	headerConnection       = "connection"
	headerContentLength    = "content-length"
	headerTransferEncoding = "transfer-encoding"
)

// Message is a request (Method and Target are set) or a response (Status is set).
type Message struct {
	Method string
	Target string
	Status int
	// Header holds the fields by their names in lower case. Repeated fields are joined by a comma.
	Header map[string]string
	// Body is owned by the receiver of the message.
	Body []byte
	// Close means that the sender closes its connection after this message.
	Close bool
}

// applyConnectionHeader lets the Connection field override the default of the HTTP version.
func (m *Message) applyConnectionHeader() {
	switch strings.ToLower(m.Header[headerConnection]) {
	case "close":
		m.Close = true
	case "keep-alive":
		m.Close = false
	}
}
