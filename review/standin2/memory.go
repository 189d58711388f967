package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["pipelined-memory"] = pipelinedMemory }

const (
	// machineMemoryMB and machineFDs are those of the smallest class of machines of dokumentarij-zg-grown.
	machineMemoryMB, machineFDs = 144, 3075
	// crowdSize is the number of connections of the crowd to a machine.
	crowdSize = 900
	// crowdDepth is the number of requests that a client sends ahead: the number that the program reads ahead on a connection.
	crowdDepth = 16
	// largeAnswer is the size of an answer, in bytes: the largest of archive-read at dokumentarij-zg-grown.
	largeAnswer = 30_000
	// endsToFault is the number of ends of a machine's processes that the rule names.
	endsToFault = 3
)

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(l); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.Atoi(fields[1])
			return n >> 10
		}
	}
	return 0
}

// machine is a machine of the platform's stand-in, which kills a process that exceeds its memory and starts it again.
type machine struct {
	*instance
	in     *installation
	ends   int // Ends for memory.
	peakMB int
}

// watch watches the memory of the machine's process until stop is closed.
func (m *machine) watch(stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		case err := <-m.exited:
			m.in.rec.add("process of %s has ended: %v", m.name, err)
			m.ends++
			if err := m.in.startInstance(m.instance); err != nil {
				return err
			}
		case <-time.After(50 * time.Millisecond):
		}
		used := residentMB(m.cmd.Process.Pid)
		m.peakMB = max(m.peakMB, used)
		if used <= m.in.memoryMB {
			continue
		}
		m.ends++
		m.in.rec.add("process of %s uses %d MB of %d MB and is killed: end %d", m.name, used, m.in.memoryMB, m.ends)
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		<-m.exited
		_ = m.log.Close()
		time.Sleep(300 * time.Millisecond)
		if err := m.in.startInstance(m.instance); err != nil {
			return err
		}
	}
}

// pipelinedMemory has crowds of clients come to two machines three times. With the disruption, each client sends requests ahead on its
// connection and reads no answer for some seconds; without it, each client sends as many requests, one after the other.
func pipelinedMemory(rec *recorder, program string, trouble bool) (verdict, error) {
	in, err := newInstallation(rec, program, []string{"hr-central-a", "hr-central-b"})
	if err != nil {
		return failed, err
	}
	defer in.stop()
	in.contracts += `,"pressure"`
	in.memoryMB, in.maxFDs = machineMemoryMB, machineFDs
	for n := range 4 {
		u, err := in.addUpstream(fmt.Sprintf("i-%d", n+1), "archive", []string{"hr-central-a", "hr-central-b"}[n%2], 100, false)
		if err != nil {
			return failed, err
		}
		u.quiet = true
		u.body = func(*http.Request) []byte { return make([]byte, largeAnswer) }
	}
	in.maxConns = 490
	in.configure(7, map[string]bool{"archive": false}, []route{{"read", "/lohu930/", "safe", "archive", 8}})
	if err := in.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var machines []*machine
	var watches sync.WaitGroup
	for _, i := range in.instances {
		m := &machine{instance: i, in: in}
		machines = append(machines, m)
		watches.Add(1)
		go func() {
			defer watches.Done()
			if err := m.watch(stop); err != nil {
				rec.add("%s: %v", m.name, err)
			}
		}()
	}
	for wave := range 3 {
		var crowds sync.WaitGroup
		for _, m := range machines {
			if err := awaitReady(m.instance, 10*time.Second); err != nil {
				close(stop)
				watches.Wait()
				return failed, err
			}
			rec.add("crowd %d of %d clients comes to %s, %d requests each", wave+1, crowdSize, m.name, crowdDepth)
			crowds.Add(1)
			go func() {
				defer crowds.Done()
				answered := crowd(in, m.front, fmt.Sprintf("%s-%d", m.name, wave), trouble)
				rec.add("crowd %d at %s has got %d answers", wave+1, m.name, answered)
			}()
		}
		crowds.Wait()
		time.Sleep(2 * time.Second)
	}
	close(stop)
	watches.Wait()
	faulty := 0
	for _, m := range machines {
		rec.add("%s: %d ends, at most %d MB of %d MB seen", m.name, m.ends, m.peakMB, in.memoryMB)
		if m.ends >= endsToFault {
			faulty++
		}
	}
	for _, i := range in.instances {
		res := call(rec, i.front, http.MethodGet, "/lohu930/last", "last-"+i.name, -1, 8*time.Second, nil)
		if !trouble && res.status != http.StatusOK {
			return failed, errors.New("an ordinary request is not served after the crowds")
		}
	}
	if faulty >= 2 {
		return broken, nil
	}
	return held, nil
}

// crowd has clients send their requests, and returns the number of answers that they got.
func crowd(in *installation, address, name string, ahead bool) int64 {
	var clients sync.WaitGroup
	var answers atomic.Int64
	for n := range crowdSize {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(8 * time.Second))
			r := bufio.NewReader(c)
			for k := range crowdDepth {
				id := fmt.Sprintf("%s-%d-%d", name, n, k)
				if _, err := c.Write(requestText(http.MethodGet, "/lohu930/a", id, -1, 8*time.Second, nil)); err != nil {
					return
				}
				if !ahead && !countAnswer(r, id, &answers) {
					return
				}
			}
			if !ahead {
				return
			}
			time.Sleep(4 * time.Second)
			for k := range crowdDepth {
				if !countAnswer(r, fmt.Sprintf("%s-%d-%d", name, n, k), &answers) {
					return
				}
			}
		}()
	}
	clients.Wait()
	return answers.Load()
}

// countAnswer reads an answer, and reports whether another one can follow.
func countAnswer(r *bufio.Reader, id string, answers *atomic.Int64) bool {
	res := readAnswer(r, id, http.MethodGet)
	if res.complete {
		answers.Add(1)
	}
	return res.complete
}
