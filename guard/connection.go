package guard

// Connection is what is known of a client's connection when it is to be ended.
type Connection struct {
	Ended       bool // it has been ended already
	RequestOpen bool // a request's head has been handed on, and the request has no whole answer
	Receiving   bool // the body of that request has not come whole
	HeadRead    bool // a whole head has been read that has not been handed on yet
	PartRead    bool // a part of a request has been read
	Unread      bool // something has come on it that has not been read
}

// Ending is how a connection may be ended.
type Ending int

const (
	// Keep: a request on it is owed its answer.
	Keep Ending = iota
	// Cut: nothing on it is owed an answer; it may be closed with no word.
	Cut
	// AnswerFirst: a request is coming on it whose last byte may be on its way. It may
	// be ended with an answer that refuses that request.
	AnswerFirst
)

// End tells how the connection may be ended. A request that has been read has an answer
// before its connection ends, whatever ends it.
func (c Connection) End() Ending {
	switch {
	case c.Ended, c.HeadRead && !c.RequestOpen:
		return Keep
	case c.RequestOpen && c.Receiving:
		return AnswerFirst
	case c.RequestOpen:
		return Keep
	case c.PartRead:
		return AnswerFirst
	case c.Unread:
		return Keep
	}
	return Cut
}
