package control

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"

	"ivylock/internal/nodetest"
	"ivylock/internal/operator"
)

const minimal = `[control]
listen = "127.0.0.1:0"
plain_text = true
discovery = "127.0.0.1:1"

[[control.service]]
name = "clips"

[[control.service.class]]
name = "fetch"
effect = "safe"
aim = "1s"
deadline = "5s"
`

// Accepts that fail, with errors that gRPC takes for the end, do not end the service.
func TestAcceptsThatFailDoNotEndTheService(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(minimal), 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := operator.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(file.Control, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l := nodetest.NewFailingListener(t, 10)
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EMFILE} {
		l.Errors <- errno
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, l) }()
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	asked, cancel := context.WithTimeout(context.Background(), nodetest.Patience)
	defer cancel()
	if _, err := healthv1.NewHealthClient(conn).Check(asked, &healthv1.HealthCheckRequest{}, grpc.WaitForReady(true)); err != nil {
		t.Error(err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Errorf("it ended with %v", err)
	}
}
