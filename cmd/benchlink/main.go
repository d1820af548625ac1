// Command benchlink connects instances of the decision module to a simulator: it
// reads one batch of events per line from standard input and writes one line of
// actions per batch to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"ivylock/internal/decider"
	"ivylock/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	instances := map[int]*decider.Decider{}
	var encoded []byte
	for lineNumber := 1; ; lineNumber++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		replies, err := handleBatch(instances, line)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		encoded = wire.AppendReply(encoded[:0], replies)
		if _, err := w.Write(encoded); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch passes one line of events to their instances and returns the
// resulting actions. An instance exists from its start event until it is retired.
func handleBatch(instances map[int]*decider.Decider, line []byte) ([]wire.NodeActions, error) {
	batch, err := wire.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	var replies []wire.NodeActions
	for _, group := range batch.Groups {
		reply := wire.NodeActions{Node: group.Node}
		for i, event := range group.Events {
			switch {
			case event.Start != nil:
				instances[group.Node] = decider.New(event.Start.Settings, event.Start.Seed)
			case event.Retire:
				delete(instances, group.Node)
				reply.Actions = nil // a retired instance must not act
			default:
				instance := instances[group.Node]
				if instance == nil {
					return nil, fmt.Errorf("node %d, event %d: no up came before it", group.Node, i)
				}
				reply.Actions = append(reply.Actions, instance.Handle(batch.Now, event.Event)...)
			}
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
