package version

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// MaxRecordBytes is the maximum size of an encoded record, in bytes.
const MaxRecordBytes = 4 << 20

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// serverJSON is the compact encoding of ServerSends, of which a record has thousands.
// Each bucket is written as its start and end, in milliseconds before the last send, and
// its count.
type serverJSON struct {
	Name  string     `json:"name"`
	Sends uint64     `json:"sends"`
	First Timestamp  `json:"first"`
	Last  Timestamp  `json:"last"`
	Marks [][3]int64 `json:"marks,omitempty"`
}

// MarshalJSON writes buckets in compact form: their timestamps are truncated to
// milliseconds.
func (s ServerSends) MarshalJSON() ([]byte, error) {
	encoded := serverJSON{s.Name, s.Sends, s.First, s.Last, nil}
	for _, bucket := range s.Buckets {
		encoded.Marks = append(encoded.Marks, [3]int64{s.Last.Sub(bucket.From).Milliseconds(), s.Last.Sub(bucket.To).Milliseconds(), int64(bucket.Sends)})
	}
	return json.Marshal(encoded)
}

// UnmarshalJSON reads what MarshalJSON wrote. It returns an error if a bucket is negative
// or older than a year.
func (s *ServerSends) UnmarshalJSON(raw []byte) error {
	var encoded serverJSON
	if err := json.Unmarshal(raw, &encoded); err != nil {
		return err
	}
	*s = ServerSends{Name: encoded.Name, Sends: encoded.Sends, First: encoded.First, Last: encoded.Last}
	for _, mark := range encoded.Marks[:min(len(encoded.Marks), maxBuckets+1)] {
		if mark[2] < 0 || mark[0] < 0 || mark[1] < 0 || mark[0] > maxBucketAgeMillis || mark[1] > maxBucketAgeMillis {
			return errBuckets
		}
		s.Buckets = append(s.Buckets, SendBucket{encoded.Last.Add(-time.Duration(mark[0]) * time.Millisecond), encoded.Last.Add(-time.Duration(mark[1]) * time.Millisecond), uint64(mark[2])})
	}
	return nil
}

const maxBucketAgeMillis = int64(1000 * 365 * 24 * 3600) // one year

var errBuckets = errors.New("record: send buckets out of range")

// AppendLine appends a record to the text of a file: a line with its checksum (CRC-32C,
// hexadecimal) and the record in JSON. A truncated file can be read up to its last
// complete line. A record of more than MaxRecordBytes is an error.
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
