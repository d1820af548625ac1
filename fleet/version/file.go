package version

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// MaxRecordBytes limits the encoded size of a record.
const MaxRecordBytes = 4 << 20

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// serverJSON is the compact encoding of ServerSends, of which a record has thousands:
// buckets are milliseconds before the last send, and counts.
type serverJSON struct {
	Name  string     `json:"name"`
	Sends uint64     `json:"sends"`
	First Timestamp  `json:"first"`
	Last  Timestamp  `json:"last"`
	Marks [][3]int64 `json:"marks,omitempty"`
}

// MarshalJSON writes buckets in compact form. Their timestamps lose the logical
// counters.
func (s ServerSends) MarshalJSON() ([]byte, error) {
	text := serverJSON{s.Name, s.Sends, s.First, s.Last, nil}
	for _, m := range s.Buckets {
		text.Marks = append(text.Marks, [3]int64{s.Last.Sub(m.From).Milliseconds(), s.Last.Sub(m.To).Milliseconds(), int64(m.Sends)})
	}
	return json.Marshal(text)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (s *ServerSends) UnmarshalJSON(raw []byte) error {
	var text serverJSON
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	*s = ServerSends{Name: text.Name, Sends: text.Sends, First: text.First, Last: text.Last}
	for _, m := range text.Marks[:min(len(text.Marks), maxBuckets+1)] {
		if m[2] < 0 || m[0] < 0 || m[1] < 0 || m[0] > maxBucketAgeMillis || m[1] > maxBucketAgeMillis {
			return errBuckets
		}
		s.Buckets = append(s.Buckets, SendBucket{text.Last.Add(-time.Duration(m[0]) * time.Millisecond), text.Last.Add(-time.Duration(m[1]) * time.Millisecond), uint64(m[2])})
	}
	return nil
}

const maxBucketAgeMillis = int64(1000 * 365 * 24 * 3600) // one year

var errBuckets = errors.New("record: send buckets out of range")

// AppendLine appends a record to the text of a file: a line with its checksum (CRC-32C,
// hexadecimal) and the record in JSON. A truncated file can be read up to its last
// complete line.
func AppendLine(buf []byte, record *Record) ([]byte, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return buf, fmt.Errorf("record: %w", err)
	}
	if len(body) > MaxRecordBytes {
		return buf, fmt.Errorf("record: %d bytes exceed the limit of %d", len(body), MaxRecordBytes)
	}
	buf = fmt.Appendf(buf, "%08x ", crc32.Checksum(body, castagnoliTable))
	return append(append(buf, body...), '\n'), nil
}

// ReadLines returns the records of a file's text, the newest of each incarnation of
// each process, in the order in which they ended, and the number of damaged or
// truncated lines.
func ReadLines(raw []byte) (records []Record, damaged int) {
	indexByKey := map[string]int{}
	for len(raw) > 0 {
		line, rest, terminated := bytes.Cut(raw, []byte{'\n'})
		raw = rest
		record, ok := readLine(line)
		if !ok || !terminated {
			damaged++
			continue
		}
		key := fmt.Sprintf("%s %d", record.Process, record.Incarnation)
		if i, known := indexByKey[key]; known {
			records[i] = record
			continue
		}
		indexByKey[key] = len(records)
		records = append(records, record)
	}
	return records, damaged
}

func readLine(line []byte) (Record, bool) {
	var r Record
	sum, body, found := bytes.Cut(line, []byte{' '})
	if !found || len(sum) != 8 || len(body) > MaxRecordBytes || fmt.Sprintf("%08x", crc32.Checksum(body, castagnoliTable)) != string(sum) {
		return r, false
	}
	return r, json.Unmarshal(body, &r) == nil
}
