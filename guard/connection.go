package guard

// Connection is the state of a client connection that is to be closed.
type Connection struct {
	Closed         bool // it is already closed
	RequestOpen    bool // a request's head was passed on and the request is not fully answered
	ReceivingBody  bool // the body of that request has not fully arrived
	HeadPending    bool // a complete request head was read and not passed on yet
	PartialRequest bool // part of a request was read
	UnreadData     bool // data has arrived that was not read
}

// CloseMode is how a connection may be closed.
type CloseMode int

const (
	// KeepOpen: the connection must not be closed, for example because a request on it needs
	// an answer.
	KeepOpen CloseMode = iota
	// CloseNow: no request is pending; the connection may be closed without an answer.
	CloseNow
	// RejectThenClose: a request is arriving whose last byte may be under way. The
	// connection may be closed after an answer that refuses the request.
	RejectThenClose
)

// CloseMode returns how the connection may be closed. A request that was read is answered
// before its connection closes.
func (c Connection) CloseMode() CloseMode {
	switch {
	case c.Closed, c.HeadPending && !c.RequestOpen:
		return KeepOpen
	case c.RequestOpen && c.ReceivingBody:
		return RejectThenClose
	case c.RequestOpen:
		return KeepOpen
	case c.PartialRequest:
		return RejectThenClose
	case c.UnreadData:
		return KeepOpen
	}
	return CloseNow
}
