package front

import (
	"bytes"
	"fmt"
	"net/http"

	"ivylock/internal/eventlog"
	"ivylock/internal/figures"
)

const (
	// maxHeaderFields is how many fields a request's head may have. net/http keeps each in a map, which
	// takes many times the bytes of short ones.
	maxHeaderFields = 100
	minFieldLength  = 4 // bytes of the shortest field with its end of line
)

var errTooManyFields = &requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the head has more than %d fields", maxHeaderFields)}

// countFields returns the number of fields of a head.
func countFields(header http.Header) (count int) {
	for _, values := range header {
		count += len(values)
	}
	return count
}

// headTooLong reports whether the head that is being received has too many fields already. The caller
// holds the lock.
func (c *clientConn) headTooLong() bool {
	if c.phase == phaseOpen || len(c.recorded) < maxHeaderFields*minFieldLength {
		return false
	}
	head := c.recorded
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(head, []byte(end)); i >= 0 {
			head = head[:i]
		}
	}
	return bytes.Count(head, []byte("\n")) > maxHeaderFields+1 // the first line is none
}

// rejectLongHead answers a request with too many fields before its head is parsed, and closes the
// connection. The caller holds the lock.
func (c *clientConn) rejectLongHead() {
	c.closed = true
	c.recordClose(figures.ClosedAnswered)
	c.owner.figures.CountUnreadable(errTooManyFields.status)
	c.owner.history.Add(eventlog.Event{Kind: eventlog.RequestRejected, Connection: c.number, Status: errTooManyFields.status, Reason: errTooManyFields.message})
	c.writeRejection(errTooManyFields.status, 0)
	c.linger(lingerTimeout)
}
