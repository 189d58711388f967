package imitator_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/turmericlift/turmericlift/imitator"
)

// TestFreePorts guards against a process that does not start because its port is taken: by another server, for TCP or for UDP,
// or by an outgoing connection, whose port the kernel chooses above all ports that are returned.
func TestFreePorts(t *testing.T) {
	first, err := imitator.FreePorts(200)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[uint16]bool{}
	for _, port := range first {
		if seen[port] || port >= 32768 {
			t.Errorf("port %d was returned twice, or the kernel may choose it for an outgoing connection", port)
		}
		seen[port] = true
		packets, err := net.ListenPacket("udp", net.JoinHostPort("127.0.0.1", strconv.Itoa(int(port))))
		if err != nil {
			t.Errorf("port %d is in use for UDP: %v", port, err)
			continue
		}
		defer func() { _ = packets.Close() }()
	}
	second, err := imitator.FreePorts(200)
	if err != nil {
		t.Fatal(err)
	}
	for _, port := range second {
		if seen[port] {
			t.Errorf("port %d was returned although a server uses it for UDP", port)
		}
	}
}
