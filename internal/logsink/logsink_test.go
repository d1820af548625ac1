package logsink

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// gate is a destination that takes nothing until it is opened.
type gate struct {
	opened chan struct{}
	bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.opened
	return g.Buffer.Write(b)
}

func TestLinesComeInOrder(t *testing.T) {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	var dropped atomic.Int64
	s := New(g, &dropped)
	line := []byte("0\n")
	for i := range 5 {
		line[0] = byte('0' + i) // the caller uses its buffer again
		if n, err := s.Write(line); n != len(line) || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if !s.Flush(10 * time.Second) {
		t.Fatal("not written")
	}
	if got := g.String(); got != "0\n1\n2\n3\n4\n" || dropped.Load() != 0 {
		t.Errorf("%q, %d dropped", got, dropped.Load())
	}
}

func TestNobodyWaitsForADestinationThatHangs(t *testing.T) {
	g := &gate{opened: make(chan struct{})}
	var dropped atomic.Int64
	s := New(g, &dropped)
	const lines = 3 * QueueLength
	for i := range lines {
		fmt.Fprintln(s, i)
	}
	if s.Flush(time.Millisecond) {
		t.Error("flushed")
	}
	if d := dropped.Load(); d < lines-QueueLength-1 {
		t.Errorf("%d dropped", d)
	}
	close(g.opened)
	if !s.Flush(10 * time.Second) {
		t.Fatal("not written")
	}
	if want := fmt.Sprintf("%d lines were dropped", dropped.Load()); strings.Count(g.String(), want) != 1 {
		t.Errorf("it does not say that %s", want)
	}
}

// failing is a destination that takes nothing.
type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("no space left on device") }

func TestAnErrorOfTheDestinationEndsNothing(t *testing.T) {
	var dropped atomic.Int64
	s := New(failing{}, &dropped)
	fmt.Fprintln(s, "one")
	fmt.Fprintln(s, "two")
	if !s.Flush(10 * time.Second) {
		t.Error("it stopped at an error")
	}
}
