package pipeliner

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// watch waits until the caller has closed or reset its connection, and returns true then, or until the read deadline has
// passed. It reads nothing: data that arrive wake it, and wait in the kernel's buffers.
//
// A connection that wraps another one has a method NetConn that returns it, as tls.Conn has. A connection that hides its socket
// cannot be watched: then watch returns false at once and ok is false.
func watch(rwc net.Conn) (left, ok bool) {
	for {
		wrapper, wraps := rwc.(interface{ NetConn() net.Conn })
		if !wraps {
			break
		}
		rwc = wrapper.NetConn()
	}
	s, ok := rwc.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true, true // The connection is closed.
	}
	_ = raw.Read(func(fd uintptr) bool { // The error is that of the deadline or of a closed connection.
		left = hasLeft(fd)
		return left
	})
	return left, true
}

// hasLeft reports whether the peer of a socket has closed or reset the connection, whatever is left to be read.
func hasLeft(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
