package imitator

import (
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync"
)

// The ports from minPort to maxPort are below those that the kernel uses for outgoing connections, so that no such connection
// takes a port between the moment at which it is found free and its use, or while its process is restarted.
const (
	minPort      = 12000
	maxPort      = 32000
	maxPortTries = 200
)

// givenPorts are the ports that FreePorts has returned.
var givenPorts = struct {
	mu    sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// FreePorts returns n ports of 127.0.0.1 that were free for TCP and UDP when they were tried, for servers that run as other
// processes. It returns no port twice.
func FreePorts(n int) ([]uint16, error) {
	givenPorts.mu.Lock()
	defer givenPorts.mu.Unlock()
	free := make([]uint16, 0, n)
	var err error
	for tries := 0; len(free) < n; tries++ {
		if tries == maxPortTries*n {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		port := uint16(minPort + rand.Intn(maxPort-minPort)) // At random, since several programs may look for ports.
		if givenPorts.ports[port] {
			continue
		}
		if err = tryPort(port); err != nil {
			continue
		}
		givenPorts.ports[port] = true
		free = append(free, port)
	}
	return free, nil
}

// tryPort returns an error if a port is in use.
func tryPort(port uint16) error {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(int(port)))
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return err
	}
	return packets.Close()
}
