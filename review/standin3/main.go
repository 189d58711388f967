// Command standin3 plays the cases of review 3 that are scripts: it serves stand-ins of the platform's store, of upstreams and
// of clients on loopback addresses, starts instances of the project as processes, and judges what it sees. It exits with 1 if
// a rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxPrinted is the number of breaks that are printed.
const maxPrinted = 10

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*world) error{
		"version":  func(w *world) error { return malformedCase(w, wrongVersion) },
		"status":   func(w *world) error { return malformedCase(w, wrongStatus) },
		"line-end": func(w *world) error { return malformedCase(w, wrongLineEnd) },
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go w.endInTime()
	err = play(w)
	w.endProcesses()
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Printf("answers %v, events %v\n", w.answers, w.counts)
	fmt.Fprintf(w.record, "answers %v, events %v\n", w.answers, w.counts)
	if err != nil {
		fmt.Println("the case could not run:", err)
		fmt.Fprintln(w.record, "the case could not run:", err)
		os.Exit(2)
	}
	for n, text := range w.broken {
		if n == maxPrinted {
			fmt.Printf("and %d more, see the record\n", len(w.broken)-n)
			break
		}
		fmt.Println(text)
	}
	if len(w.broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("no rule was broken")
}

// longestTime is the time after which a case ends that has not ended by itself.
const longestTime = 115 * time.Second

// endInTime ends all processes if the case takes too long or this process is to end.
func (w *world) endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longestTime):
	}
	for _, i := range w.allInstances() {
		process, _ := i.process()
		_ = process.Kill()
	}
	_ = os.RemoveAll(w.dir)
	fmt.Println("the case did not end in time")
	os.Exit(2)
}

var zones = []string{"jyl-nord", "jyl-midt", "jyl-syd"}

// serveStore serves the store and returns its address.
func serveStore(w *world) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, w.store) }()
	return l.Addr().String(), nil
}

// startAll starts the store, upstreams and an instance in each zone, and waits until keys are served.
func startAll(w *world, upstreams int) ([]*instance, error) {
	address, err := serveStore(w)
	if err != nil {
		return nil, err
	}
	w.writeConfig(3)
	for n := range upstreams {
		if err := w.addUpstream("hyttebog", zones[n%len(zones)], n%5 < 2); err != nil {
			return nil, err
		}
	}
	all, err := w.startInstances(address, zones)
	if err != nil {
		return nil, err
	}
	if err := awaitReady(all, 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // Keys are granted.
	return all, nil
}

// malformedCase: faulty upstreams send bytes that are no answer in place of a few of their answers: one byte of the head is wrong.
func malformedCase(w *world, how malformation) error {
	w.how = how
	all, err := startAll(w, 9)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	w.traffic(ctx, all, 100)
	return nil
}
