package guard

// Connection is what is known of a client's connection when it is to be ended.
type Connection struct {
	Closed         bool // it has been ended already
	RequestOpen    bool // a request's head has been handed on, and the request has no whole answer
	ReceivingBody  bool // the body of that request has not come whole
	HeadPending    bool // a whole head has been read that has not been handed on yet
	PartialRequest bool // a part of a request has been read
	UnreadData     bool // something has come on it that has not been read
}

// CloseMode is how a connection may be ended.
type CloseMode int

const (
	// Keep: a request on it is owed its answer.
	KeepOpen CloseMode = iota
	// Cut: nothing on it is owed an answer; it may be closed with no word.
	CloseNow
	// RejectThenClose: a request is coming on it whose last byte may be on its way. It may
	// be ended with an answer that refuses that request.
	RejectThenClose
)

// CloseMode tells how the connection may be ended. A request that has been read has an answer
// before its connection ends, whatever ends it.
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
