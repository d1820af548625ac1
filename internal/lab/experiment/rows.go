package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"ivylock/internal/lab/fleet"
	"ivylock/internal/lab/judge"
)

// Row is the result of a finished cell.
type Row struct {
	Cell
	Commit          string             `json:"commit"` // of the program that ran the cell
	Measure         float64            `json:"measure"`
	OnTimeRatio     float64            `json:"whole"`
	WorstWindow     float64            `json:"worst_10s"`
	WorstClass      float64            `json:"worst_class"`
	Refused         float64            `json:"refused"`  // fraction of tries
	P99             map[string]float64 `json:"p99_ms"`   // by class, of served orders
	Breaches        [5]int             `json:"breaches"` // by rule, from 1
	DispersionIndex float64            `json:"swing"`    // see fleet.Result
	Orders          int                `json:"orders"`
	Events          uint64             `json:"events"`
	Elapsed         float64            `json:"took_s"` // wall time in s
}

func newRow(c Cell, r fleet.Result, commit string, elapsed time.Duration) Row {
	s := r.Service
	row := Row{Cell: c, Commit: commit, Measure: s.Measure, OnTimeRatio: s.OnTimeRatio, WorstWindow: s.WorstWindow, WorstClass: s.WorstClass,
		Refused: float64(s.Refused) / float64(max(1, s.Tries)), P99: map[string]float64{}, DispersionIndex: r.DispersionIndex, Orders: s.Orders, Events: r.Steps, Elapsed: elapsed.Seconds()}
	for _, class := range s.Classes {
		row.P99[class.Class] = float64(class.P99.Microseconds()) / 1000
	}
	for rule := judge.NoRequestLost; rule <= judge.NoColdOverload; rule++ {
		row.Breaches[rule] = r.Counts[rule]
	}
	return row
}

// maxRowSize limits a line of a file, in bytes.
const maxRowSize = 64 << 10

// Read reads the rows of a file. It ignores a truncated last line, which a killed
// run leaves; any other invalid line is an error.
func Read(file string) ([]Row, error) {
	rows, _, err := read(file)
	return rows, err
}

// read also returns the size of the file up to the end of its last complete line.
func read(file string) (rows []Row, size int64, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	reader := bufio.NewReaderSize(f, maxRowSize)
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return rows, size, nil // the rest is a truncated line
		}
		if err != nil {
			return nil, 0, fmt.Errorf("%s:%d: %w", file, lineNumber, err)
		}
		var row Row
		decoder := json.NewDecoder(bytes.NewReader(line))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&row); err != nil {
			return nil, 0, fmt.Errorf("%s:%d: no row of an experiment: %w", file, lineNumber, err)
		}
		rows = append(rows, row)
		size += int64(len(line))
	}
}
