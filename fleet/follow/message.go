package follow

import (
	"encoding/binary"
	"errors"
	"time"

	"ivylock/fleet/version"
)

// MaxDatagram is the most that processes may send one another, bytes.
const MaxDatagram = 256

// The form: a byte that names it, what the datagram is, the sender's vector (24
// bytes), the age of its own source's last word in hundredths of a second, its
// standing, and the version up to which it acts on all withdrawals (6 bytes). Then
// by kind: a hello carries whatever else the sender has to say to the receiver;
// an ask the version from which on it wants withdrawals; words their place among
// the parts of an answer, the version behind which they are all there are, and the
// words; a whole its place and the keys of all servers that are up. All in network
// order.
const (
	form = 0xF1
	head = 2 + version.VectorSize + 2 + 1 + 6

	wordSize  = 8 + 1 + 4
	wordsHead = 2 + 6
	keySize   = 8
	wholeHead = 2
	mostWords = (MaxDatagram - head - wordsHead) / wordSize
	mostKeys  = (MaxDatagram - head - wholeHead) / keySize
	mostParts = 64

	greetWords = 4 // that a hello carries at most

	stateBits = 0x03
	hearsay   = 0x80 // the teller has it of another process, not of its own source
	neverAge  = 0xFFFF
)

type kind uint8

const (
	hello kind = iota
	ask
	words
	whole
	kinds
)

// word says that a server wants nothing new, by a version.
type word struct {
	key     version.Key
	state   version.State
	list    version.List
	hearsay bool
}

// message is a datagram.
type message struct {
	kind        kind
	vector      version.Vector
	age         time.Duration // of the word of the sender's own source; negative: it never spoke
	standing    Mode
	acts        version.List // version up to which the sender acts on all withdrawals
	since       version.List // of an ask, and of words
	part, parts int
	words       []word
	keys        []version.Key
	rest        []byte // of a hello
}

var errForm = errors.New("fleet: a datagram that is in no known form")

func (m *message) append(to []byte) []byte {
	to = m.vector.Append(append(to, form, byte(m.kind)))
	age := uint16(neverAge)
	if m.age >= 0 {
		age = uint16(min(m.age/(10*time.Millisecond), neverAge-1))
	}
	to = binary.BigEndian.AppendUint16(to, age)
	to = appendList(append(to, byte(m.standing)), m.acts)
	switch m.kind {
	case hello:
		to = append(to, m.rest...)
	case ask:
		to = appendList(to, m.since)
	case words:
		to = appendList(append(to, byte(m.part), byte(m.parts)), m.since)
		for _, w := range m.words {
			b := byte(w.state)
			if w.hearsay {
				b |= hearsay
			}
			to = append(binary.BigEndian.AppendUint64(to, uint64(w.key)), b)
			to = binary.BigEndian.AppendUint32(to, w.list.Generation)
		}
	case whole:
		to = append(to, byte(m.part), byte(m.parts))
		for _, k := range m.keys {
			to = binary.BigEndian.AppendUint64(to, uint64(k))
		}
	}
	return to
}

func appendList(to []byte, l version.List) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(to, l.Epoch), l.Generation)
}

func readList(b []byte) version.List {
	return version.List{Epoch: binary.BigEndian.Uint16(b), Generation: binary.BigEndian.Uint32(b[2:])}
}

// IsFleetDatagram tells whether a datagram is one of the fleet's, of whatever kind.
func IsFleetDatagram(data []byte) bool { return len(data) > 0 && data[0] == form }

// parse reads a datagram. Nothing of one that has not this form is taken.
func parse(data []byte) (message, error) {
	var m message
	if len(data) < head || len(data) > MaxDatagram || data[0] != form || data[1] >= byte(kinds) {
		return m, errForm
	}
	m.kind = kind(data[1])
	m.vector, _ = version.ParseVector(data[2:])
	b := data[2+version.VectorSize:]
	m.age = -1
	if age := binary.BigEndian.Uint16(b); age != neverAge {
		m.age = time.Duration(age) * 10 * time.Millisecond
	}
	m.standing, m.acts = Mode(b[2]), readList(b[3:])
	if m.standing >= standings {
		return m, errForm
	}
	b = b[9:]
	switch m.kind {
	case hello:
		m.rest = b
	case ask:
		if len(b) != 6 {
			return m, errForm
		}
		m.since = readList(b)
	case words:
		if len(b) < wordsHead || (len(b)-wordsHead)%wordSize != 0 || !m.place(b) {
			return m, errForm
		}
		m.since = readList(b[2:])
		for b = b[wordsHead:]; len(b) > 0; b = b[wordSize:] {
			w := word{key: version.Key(binary.BigEndian.Uint64(b)), state: version.State(b[8] & stateBits), hearsay: b[8]&hearsay != 0,
				list: version.List{Epoch: m.acts.Epoch, Generation: binary.BigEndian.Uint32(b[9:])}}
			if w.state != version.Draining && w.state != version.Removed || w.list.CompareGeneration(m.acts) == version.Newer {
				return m, errForm // a word that gives work, or is newer than what the sender says it has
			}
			m.words = append(m.words, w)
		}
	case whole:
		if len(b) < wholeHead || (len(b)-wholeHead)%keySize != 0 || !m.place(b) {
			return m, errForm
		}
		for b = b[wholeHead:]; len(b) > 0; b = b[keySize:] {
			m.keys = append(m.keys, version.Key(binary.BigEndian.Uint64(b)))
		}
	}
	return m, nil
}

// place reads which part of how many a datagram is.
func (m *message) place(b []byte) bool {
	m.part, m.parts = int(b[0]), int(b[1])
	return m.parts > 0 && m.parts <= mostParts && m.part < m.parts
}
