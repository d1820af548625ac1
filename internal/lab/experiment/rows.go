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

// Row is a finished cell.
type Row struct {
	Cell
	Commit          string             `json:"commit"` // of the program that played it
	Measure         float64            `json:"measure"`
	OnTimeRatio     float64            `json:"whole"`
	WorstWindow     float64            `json:"worst_10s"`
	WorstClass      float64            `json:"worst_class"`
	Refused         float64            `json:"refused"`  // share of tries
	P99             map[string]float64 `json:"p99_ms"`   // by class, of served orders
	Breaches        [5]int             `json:"breaches"` // by rule, 1 to 4
	DispersionIndex float64            `json:"swing"`    // see fleet.Result
	Orders          int                `json:"orders"`
	Events          uint64             `json:"events"`
	Elapsed         float64            `json:"took_s"` // of wall time
}

func rowOf(c Cell, r fleet.Result, commit string, took time.Duration) Row {
	s := r.Service
	row := Row{Cell: c, Commit: commit, Measure: s.Measure, OnTimeRatio: s.OnTimeRatio, WorstWindow: s.WorstWindow, WorstClass: s.WorstClass,
		Refused: float64(s.Refused) / float64(max(1, s.Tries)), P99: map[string]float64{}, DispersionIndex: r.DispersionIndex, Orders: s.Orders, Events: r.Steps, Elapsed: took.Seconds()}
	for _, k := range s.Classes {
		row.P99[k.Class] = float64(k.P99.Microseconds()) / 1000
	}
	for rule := judge.NoRequestLost; rule <= judge.NoColdOverload; rule++ {
		row.Breaches[rule] = r.Counts[rule]
	}
	return row
}

// maxRow bounds a line of a file.
const maxRow = 64 << 10

// Read reads the rows of a file. A last line that was cut short, as by a kill,
// is left out; any other that can't be read is an error.
func Read(file string) ([]Row, error) {
	rows, _, err := read(file)
	return rows, err
}

// read gives the rows and the length of the file up to the end of the last
// whole one.
func read(file string) (rows []Row, whole int64, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	r := bufio.NewReaderSize(f, maxRow)
	for n := 1; ; n++ {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return rows, whole, nil // what is left has no end
		}
		if err != nil {
			return nil, 0, fmt.Errorf("%s:%d: %w", file, n, err)
		}
		var row Row
		d := json.NewDecoder(bytes.NewReader(line))
		d.DisallowUnknownFields()
		if err := d.Decode(&row); err != nil {
			return nil, 0, fmt.Errorf("%s:%d: no row of an experiment: %w", file, n, err)
		}
		rows = append(rows, row)
		whole += int64(len(line))
	}
}
