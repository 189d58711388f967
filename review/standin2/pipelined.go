package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// garbleEvery is the number of answers of which a faulty upstream breaks off one, a long one: 3 in 100.
const garbleEvery = 33

func init() { cases["pipelined-break"] = pipelinedBreak }

// pipelinedBreak has clients that send four safe requests at once on a connection. With the disruption, one upstream breaks off part
// of its large answers.
func pipelinedBreak(rec *recorder, program string, trouble bool) (verdict, error) {
	in, err := newInstallation(rec, program, []string{"hr-central-a"})
	if err != nil {
		return failed, err
	}
	defer in.stop()
	in.contracts += `,"pressure"`
	in.memoryMB, in.maxFDs = 536, 8192
	var garbled atomic.Int64
	for n := range 4 {
		u, err := in.addUpstream(fmt.Sprintf("i-%d", n+1), "archive", "hr-central-a", 20, false)
		if err != nil {
			return failed, err
		}
		u.work = func(r *http.Request) time.Duration {
			if strings.HasSuffix(r.URL.Path, "/long") {
				return 50 * time.Millisecond
			}
			return 400 * time.Millisecond
		}
		u.body = func(r *http.Request) []byte {
			if strings.HasSuffix(r.URL.Path, "/long") {
				return []byte(strings.Repeat("x", 200_000))
			}
			return []byte("answer to " + r.Header.Get(hID))
		}
		if n < 2 && trouble {
			var answers, due atomic.Int64
			u.respond = func(c *upstreamConn, r *http.Request, answer []byte) bool {
				if answers.Add(1)%garbleEvery == 0 {
					due.Add(1)
				}
				if !strings.HasSuffix(r.URL.Path, "/long") || due.Load() == 0 {
					return false
				}
				due.Add(-1)
				garbled.Add(1)
				rec.add("upstream %s breaks off its answer to %s", c.u.id, r.Header.Get(hID))
				_, _ = c.Write(answer[:len(answer)/2])
				return true
			}
		}
	}
	in.configure(7, map[string]bool{"archive": false}, []route{{"read", "/lohu930/", "safe", "archive", 8}})
	if err := in.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var lost atomic.Int64
	for client := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 60 {
				lost.Add(int64(pipelineOnce(rec, in, fmt.Sprintf("p%d-%d", client, n))))
			}
		}()
	}
	wg.Wait()
	rec.add("%d requests lost, %d answers broken off", lost.Load(), garbled.Load())
	if trouble && garbled.Load() == 0 {
		return failed, errors.New("no answer was broken off")
	}
	if lost.Load() > 3 {
		return broken, nil
	}
	return held, nil
}

// pipelineOnce sends four safe requests at once on a new connection, and returns how many of them were passed on to an upstream that
// answered soundly and got no answer when the connection ended. The request whose own answer was broken off doesn't count.
func pipelineOnce(rec *recorder, in *installation, name string) int {
	c, err := net.DialTimeout("tcp", in.instances[0].front, time.Second)
	if err != nil {
		rec.add("%s: %v", name, err)
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	var text []byte
	var ids []string
	for k := range 4 {
		path := "/lohu930/a"
		if k == 0 {
			path += "/long"
		}
		ids = append(ids, fmt.Sprintf("%s-%d", name, k))
		text = append(text, requestText("GET", path, ids[k], -1, 8*time.Second, nil)...)
	}
	rec.add("client sends %v on one connection", ids)
	if _, err := c.Write(text); err != nil {
		rec.add("%s: %v", name, err)
		return 0
	}
	r := bufio.NewReader(c)
	for k, id := range ids {
		res := readAnswer(r, id, "GET")
		rec.add("client gets %s: status %d complete %t error %v", id, res.status, res.complete, res.err)
		if !res.complete {
			return countLost(rec, in, ids[k+1:])
		}
	}
	return 0
}

// countLost counts the requests that an upstream has begun to run.
func countLost(rec *recorder, in *installation, ids []string) int {
	lost := 0
	for _, id := range ids {
		for _, u := range in.upstreams {
			u.mu.Lock()
			for _, rn := range u.runs {
				if rn.id == id {
					lost++
					rec.add("LOST: %s was passed on to %s, and its connection has ended without an answer", id, u.id)
				}
			}
			u.mu.Unlock()
		}
	}
	return lost
}
