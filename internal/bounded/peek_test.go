package bounded

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// The end of unread data is found whatever its length, and the data stays.
func TestEndOfUnreadDataIsFound(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	end := []byte("\r\n0\r\n\r\n")
	for _, length := range []int{0, 1, 100, peekPiece - len(end), peekPiece, peekPiece + 1, 3*peekPiece + 17, 900_000} {
		remote, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		local, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		local.(*net.TCPConn).SetReadBuffer(4 << 20)
		data := append(bytes.Repeat([]byte("x"), length), end...)
		go func() {
			remote.Write(data[:length+3])
			time.Sleep(20 * time.Millisecond)
			remote.Write(data[length+3:])
		}()
		found := false
		for deadline := time.Now().Add(5 * time.Second); !found && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			unread, _ := Unread(local)
			if found = UnreadEndsWith(local, end); found && unread > len(data) {
				t.Errorf("%d bytes: %d are unread", len(data), unread)
			}
		}
		if !found {
			unread, _ := Unread(local)
			t.Errorf("%d bytes: the end was not found with %d unread", len(data), unread)
		}
		remote.Close()
		if got, err := io.ReadAll(local); err != nil || !bytes.Equal(got, data) {
			t.Errorf("%d bytes: read %d, %v", len(data), len(got), err)
		}
		if UnreadEndsWith(local, end) {
			t.Errorf("%d bytes: found after all was read", len(data))
		}
		local.Close()
	}
}
