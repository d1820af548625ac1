package version

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// MaxRecordBytes bounds a record's text, bytes.
const MaxRecordBytes = 4 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// serverText is a Server as text: its marks as milliseconds before the last send and
// counts, as a record has thousands of them.
type serverText struct {
	Name  string     `json:"name"`
	Sends uint64     `json:"sends"`
	First Timestamp  `json:"first"`
	Last  Timestamp  `json:"last"`
	Marks [][3]int64 `json:"marks,omitempty"`
}

// MarshalJSON writes a server's marks short; stamps of them lose their counters.
func (s ServerSends) MarshalJSON() ([]byte, error) {
	t := serverText{s.Name, s.Sends, s.First, s.Last, nil}
	for _, m := range s.Buckets {
		t.Marks = append(t.Marks, [3]int64{s.Last.Sub(m.From).Milliseconds(), s.Last.Sub(m.To).Milliseconds(), int64(m.Sends)})
	}
	return json.Marshal(t)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (s *ServerSends) UnmarshalJSON(raw []byte) error {
	var t serverText
	if err := json.Unmarshal(raw, &t); err != nil {
		return err
	}
	*s = ServerSends{Name: t.Name, Sends: t.Sends, First: t.First, Last: t.Last}
	for _, m := range t.Marks[:min(len(t.Marks), mostMarks+1)] {
		if m[2] < 0 || m[0] < 0 || m[1] < 0 || m[0] > maxSpan || m[1] > maxSpan {
			return errMarks
		}
		s.Buckets = append(s.Buckets, SendBucket{t.Last.Add(-time.Duration(m[0]) * time.Millisecond), t.Last.Add(-time.Duration(m[1]) * time.Millisecond), uint64(m[2])})
	}
	return nil
}

const maxSpan = int64(1000 * 365 * 24 * 3600) // ms before a server's last send that a mark may lie: a year

var errMarks = errors.New("record: marks that are not in their bounds")

// AppendLine adds a record to the text of a file: a line with the checksum
// (CRC-32C, hexadecimal) and the record in JSON, so that a file which breaks off
// anywhere can be read up to its last whole line.
func AppendLine(to []byte, r *Record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return to, fmt.Errorf("record: %w", err)
	}
	if len(body) > MaxRecordBytes {
		return to, fmt.Errorf("record: %d bytes are over the bound of %d", len(body), MaxRecordBytes)
	}
	to = fmt.Appendf(to, "%08x ", crc32.Checksum(body, castagnoli))
	return append(append(to, body...), '\n'), nil
}

// ReadLines gives the whole records of a file's text, the newest of each life of
// each process, in the order in which they ended, and how many lines were spoilt
// or cut short.
func ReadLines(raw []byte) (records []Record, spoilt int) {
	at := map[string]int{}
	for len(raw) > 0 {
		line, rest, whole := bytes.Cut(raw, []byte{'\n'})
		raw = rest
		r, ok := readLine(line)
		if !ok || !whole {
			spoilt++
			continue
		}
		key := fmt.Sprintf("%s %d", r.Process, r.Incarnation)
		if i, known := at[key]; known {
			records[i] = r
			continue
		}
		at[key] = len(records)
		records = append(records, r)
	}
	return records, spoilt
}

func readLine(line []byte) (Record, bool) {
	var r Record
	sum, body, found := bytes.Cut(line, []byte{' '})
	if !found || len(sum) != 8 || len(body) > MaxRecordBytes || fmt.Sprintf("%08x", crc32.Checksum(body, castagnoli)) != string(sum) {
		return r, false
	}
	return r, json.Unmarshal(body, &r) == nil
}
