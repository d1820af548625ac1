package version

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
)

// MaxRecord bounds a record's text, bytes.
const MaxRecord = 4 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// AppendLine adds a record to the text of a file: a line with the checksum
// (CRC-32C, hexadecimal) and the record in JSON, so that a file which breaks off
// anywhere can be read up to its last whole line.
func AppendLine(to []byte, r *Record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return to, fmt.Errorf("record: %w", err)
	}
	if len(body) > MaxRecord {
		return to, fmt.Errorf("record: %d bytes are over the bound of %d", len(body), MaxRecord)
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
		key := fmt.Sprintf("%s %d", r.Process, r.Life)
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
	if !found || len(sum) != 8 || len(body) > MaxRecord || fmt.Sprintf("%08x", crc32.Checksum(body, castagnoli)) != string(sum) {
		return r, false
	}
	return r, json.Unmarshal(body, &r) == nil
}
