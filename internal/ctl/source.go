package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"ivylock/fleet/version"
)

const (
	atOnce  = 16      // consoles that are asked at once
	maxFile = 1 << 30 // bytes of a file of records
)

// source is where records are read from.
type source struct {
	consoles, files []string
	wait            time.Duration
}

// read gives all records that were to be had, and a note on each place that had
// none, or a spoilt one.
func (s *source) read() (records []version.Record, notes []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	room := make(chan struct{}, atOnce)
	client := &http.Client{Timeout: s.wait}
	for _, addr := range s.consoles {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			r, err := ask(client, addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				notes = append(notes, fmt.Sprintf("no record from %s: %v", addr, err))
				return
			}
			records = append(records, r)
		})
	}
	all.Wait()
	for _, path := range s.files {
		raw, err := readFile(path)
		if err != nil {
			notes = append(notes, fmt.Sprintf("no record from %s: %v", path, err))
			continue
		}
		found, spoilt := version.ReadLines(raw)
		if spoilt > 0 {
			notes = append(notes, fmt.Sprintf("%s: %d lines are spoilt or cut short; the whole ones count", path, spoilt))
		}
		records = append(records, found...)
	}
	return records, notes
}

func readFile(path string) ([]byte, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if st.Size() > maxFile {
		return nil, fmt.Errorf("%d bytes are over the bound of %d; cut it", st.Size(), maxFile)
	}
	return os.ReadFile(path)
}

func ask(client *http.Client, addr string) (version.Record, error) {
	var r version.Record
	resp, err := client.Get("http://" + addr + "/fleet/record")
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, version.MaxRecordBytes)
	if resp.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(body, 200))
		return r, fmt.Errorf("%s: %s", resp.Status, why)
	}
	return r, json.NewDecoder(body).Decode(&r)
}
