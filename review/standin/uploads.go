package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// uploadsAtOnce is the number of clients that send a body of the largest allowed size to an instance at the same time.
	uploadsAtOnce = 4
	// uploadRounds is the number of times that they come, and roundPause the time between two of these.
	uploadRounds = 5
	roundPause   = 6 * time.Second
	// linkShare is the share of a machine's link that the uploads use together.
	linkShare = 0.95
	// allowedEnds is the number of ends of a process, on two machines, that the rule Fault allows.
	allowedEnds = 2
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// enforceMemory kills the process of an instance when it exceeds the machine's memory and starts it again, as the
// platform does. ends counts how often it was killed.
func (w *world) enforceMemory(e *entry, ends *int) {
	peak := 0
	for {
		select {
		case <-w.stop:
			w.rec.line("platform: %s used at most %d MiB of memory", e.name, peak)
			return
		case <-time.After(5 * time.Millisecond):
		}
		m := e.memory()
		peak = max(peak, m)
		if m <= memoryMB {
			continue
		}
		*ends++
		w.rec.line("platform: %s uses %d MiB of memory, its limit is %d: the process is killed", e.name, m, memoryMB)
		e.stop()
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			w.rec.line("platform: %s cannot be started again: %v", e.name, err)
			return
		}
	}
}

// largeUploads lets several clients at once send bodies of the largest allowed size to two of the instances, several times.
func largeUploads(w *world) error { return w.upload(uploadsAtOnce) }

// singleUploads lets one client at a time do so.
func singleUploads(w *world) error { return w.upload(1) }

// upload sends bodies of the largest allowed size to two instances, clients at a time, and checks the rule Fault.
func (w *world) upload(clients int) error {
	ends := make([]int, 2)
	for n := range ends {
		w.goRun(func() { w.enforceMemory(w.entries[n], &ends[n]) })
	}
	for range uploadRounds {
		var round sync.WaitGroup
		for n := range ends {
			for client := range clients {
				round.Go(func() { w.sendLarge(w.entries[n], client, clients) })
			}
		}
		round.Wait()
		time.Sleep(roundPause)
	}
	w.end()
	if ends[0] > allowedEnds && ends[1] > allowedEnds {
		w.violate("Fault: the processes of two of %d machines ended %d and %d times because they exceeded their memory", len(w.entries), ends[0], ends[1])
	}
	return nil
}

// sendLarge sends a request with a body of the largest allowed size, as fast as the part of the link of one of so many
// clients allows.
func (w *world) sendLarge(e *entry, client, clients int) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	id := fmt.Sprintf("ffff%04x%08x", client, time.Now().UnixNano()&0xffffffff)
	body := &pacedBody{left: maxBodyBytes, bytesPerSecond: linkShare * linkMbps * 1e6 / 8 / float64(clients), startedAt: time.Now()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.front+"/supply/x", body)
	if err != nil {
		panic(err) // All parts are built by this program.
	}
	r.Host, r.ContentLength = host, maxBodyBytes
	r.Header.Set(headerID, id)
	r.Header.Set(headerDeadline, strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	r.Header.Set(headerKey, strconv.Itoa(client))
	w.rec.line("client: sends POST /supply/x %s with %d bytes to %s", id, maxBodyBytes, e.name)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		w.rec.line("client: %s has no answer: %v", id, err)
		return
	}
	_ = resp.Body.Close()
	w.rec.line("client: %s is answered %d", id, resp.StatusCode)
}

// pacedBody is a body of zero bytes that comes at a constant rate.
type pacedBody struct {
	sent, left     int
	bytesPerSecond float64
	startedAt      time.Time
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Until(b.startedAt.Add(time.Duration(float64(b.sent) / b.bytesPerSecond * float64(time.Second)))))
	n := min(len(p), b.left)
	clear(p[:n])
	b.sent += n
	b.left -= n
	return n, nil
}
