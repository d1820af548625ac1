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
	maxConcurrentRequests = 16      // to consoles
	maxFileBytes          = 1 << 30 // of a file of records
)

// sources lists where records are read from.
type sources struct {
	consoles, files []string
	timeout         time.Duration
}

// read returns all records that could be read, and a note on each source that
// failed or holds damaged records.
func (s *sources) read() (records []version.Record, notes []string) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentRequests)
	client := &http.Client{Timeout: s.timeout}
	for _, addr := range s.consoles {
		requests.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			r, err := fetchRecord(client, addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				notes = append(notes, fmt.Sprintf("no record from %s: %v", addr, err))
				return
			}
			records = append(records, r)
		})
	}
	requests.Wait()
	for _, path := range s.files {
		raw, err := readFile(path)
		if err != nil {
			notes = append(notes, fmt.Sprintf("no record from %s: %v", path, err))
			continue
		}
		valid, damaged := version.ReadLines(raw)
		if damaged > 0 {
			notes = append(notes, fmt.Sprintf("%s: %d lines are spoilt or cut short; the whole ones count", path, damaged))
		}
		records = append(records, valid...)
	}
	return records, notes
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%d bytes are over the bound of %d; cut it", info.Size(), maxFileBytes)
	}
	return os.ReadFile(path)
}

func fetchRecord(client *http.Client, addr string) (version.Record, error) {
	var r version.Record
	resp, err := client.Get("http://" + addr + "/fleet/record")
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, version.MaxRecordBytes)
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(body, 200))
		return r, fmt.Errorf("%s: %s", resp.Status, detail)
	}
	return r, json.NewDecoder(body).Decode(&r)
}
