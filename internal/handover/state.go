package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"

	"ivylock/handoff"
)

// MaxStateBytes bounds the encoded state: a list of some 20,000 servers.
const MaxStateBytes = 8 << 20

const magic = "ivylock-state"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode encodes a state: a header line with the format version and the length and checksum
// (CRC-32C) of the body, then the body in JSON.
func Encode(s *handoff.State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if len(body) > MaxStateBytes {
		return nil, fmt.Errorf("state: %d bytes are over the bound of %d", len(body), MaxStateBytes)
	}
	header := fmt.Sprintf("%s %d %d %08x\n", magic, handoff.FormatVersion, len(body), crc32.Checksum(body, castagnoli))
	return append([]byte(header), body...), nil
}

// Decode decodes a state. It rejects one that is truncated, modified, too long or of another format
// version.
func Decode(raw []byte) (*handoff.State, error) {
	line, body, whole := bytes.Cut(raw, []byte{'\n'})
	if !whole || len(line) > 64 {
		return nil, errors.New("state: no head")
	}
	var name string
	var version, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(line), "%s %d %d %x", &name, &version, &length, &sum); n != 4 || err != nil || name != magic {
		return nil, errors.New("state: a foreign file")
	}
	if version != handoff.FormatVersion {
		return nil, fmt.Errorf("state: form %d is not known here (%d is)", version, handoff.FormatVersion)
	}
	if length != len(body) || length > MaxStateBytes {
		return nil, fmt.Errorf("state: %d bytes of %d", len(body), length)
	}
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, errors.New("state: the checksum does not match")
	}
	s := &handoff.State{}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if s.Version != version || s.Epoch == 0 || s.Epoch > math.MaxUint64/2 {
		return nil, errors.New("state: bad version or epoch")
	}
	return s, nil
}
