package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	// aheadRequests is the number of requests that a client of the crowd sends ahead on a connection.
	aheadRequests = 16
	// crowdSegment is the largest TCP segment that the crowd takes, in bytes, as behind an ordinary network card: with the
	// segments of the loopback device, the kernel would hold all that is sent.
	crowdSegment = 1400
	// crowdWindow is the receive buffer of a client of the crowd, in bytes.
	crowdWindow = 4 << 10
	// tcpEstablished is the state of an open connection in the kernel's TCP_INFO.
	tcpEstablished = 1
)

// residentKB returns a field of the process's status file, in KiB.
func residentKB(pid int, field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == field+":" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = time.Second

// guardMemory does what the platform does: it kills an instance that exceeds its memory and starts it again, until ctx ends. It
// returns how often it did.
func (w *world) guardMemory(ctx context.Context, i *instance, limitMB int) (kills int) {
	most := 0
	for ctx.Err() == nil {
		process, exited := i.process()
		now := residentKB(process.Pid, "VmRSS")
		most = max(most, now)
		if now > limitMB<<10 {
			kills++
			w.log("killed", i.name, fmt.Sprintf("uses %d MiB of memory, more than memory_mb = %d; the platform kills it", now>>10, limitMB))
			_ = process.Signal(syscall.SIGKILL)
			<-exited
			sleep(ctx, restartDelay)
			if err := i.start(w); err != nil {
				w.log("process", i.name, err.Error())
				return kills
			}
		}
		sleep(ctx, 20*time.Millisecond)
	}
	w.log("memory", i.name, fmt.Sprintf("at most %d MiB resident, killed %d times", most>>10, kills))
	return kills
}

// crowdClient keeps one connection to an instance, sends requests ahead, and reads the answers or not, until ctx ends.
func (w *world) crowdClient(ctx context.Context, i *instance, number int, reads bool) {
	dialer := &net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, crowdSegment)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, crowdWindow)
		})
	}}
	for round := 0; ctx.Err() == nil; round++ {
		c, err := dialer.DialContext(ctx, "tcp", i.front)
		if err != nil {
			sleep(ctx, 200*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		var b strings.Builder
		for n := range aheadRequests {
			fmt.Fprintf(&b, "GET /lohu930/2f HTTP/1.1\r\nHost: %s\r\n%s: s%04d%04d%02d\r\n%s: %d\r\n%s: %d\r\n\r\n", host, headerID, number, round, n, headerDeadline, w.crowdDeadline.Milliseconds(), headerKey, (number*aheadRequests+n)*997%keyCount)
		}
		w.log("send", i.name, fmt.Sprintf("client %d sends %d requests ahead", number, aheadRequests))
		_, _ = io.WriteString(c, b.String())
		reader, got := bufio.NewReader(c), 0
		if reads {
			for got < aheadRequests {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				if _, err = io.Copy(io.Discard, resp.Body); err != nil {
					break
				}
				got++
				w.count(fmt.Sprint(resp.StatusCode))
			}
		} else {
			w.awaitEnd(ctx, c)
		}
		w.log("answer", i.name, fmt.Sprintf("client %d has read %d answers, its connection ends", number, got))
		stop()
		_ = c.Close()
	}
}

// awaitEnd waits until the other side has ended a connection, without reading.
func (w *world) awaitEnd(ctx context.Context, c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	for err == nil && ctx.Err() == nil {
		ended := false
		err = raw.Control(func(fd uintptr) {
			// The state of a socket whose other side has closed it is no longer that of an open connection.
			var info [104]byte
			size := uint32(len(info))
			_, _, e := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO, uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
			ended = e != 0 || info[0] != tcpEstablished
		})
		if ended {
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// crowd plays a crowd until ctx ends.
func (w *world) crowd(ctx context.Context, i *instance, clients int, reads bool) {
	var wg sync.WaitGroup
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.crowdClient(ctx, i, n, reads)
		}()
	}
	wg.Wait()
}
