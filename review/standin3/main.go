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
	"sync"
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
	cases := map[string]func(*world) error{"orders": ordersCase, "heads": headsCase, "ahead": aheadCase}
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
func startAll(w *world, upstreams int, s settings) ([]*instance, error) {
	address, err := serveStore(w)
	if err != nil {
		return nil, err
	}
	s.storeAddress = address
	if s.zones == nil {
		s.zones = zones
	}
	if s.memoryMB == 0 {
		s.memoryMB = 414
	}
	if s.maxFDs == 0 {
		s.maxFDs = 6150
	}
	if s.contracts == "" {
		s.contracts = `"base","drain","config","cost","retry","recover","own","places","platform"`
	}
	w.writeConfig(3, 3)
	for n := range upstreams {
		if _, err := w.addUpstream("hyttebog", zones[n%len(zones)], 0, n%5 < 3); err != nil {
			return nil, err
		}
	}
	all, err := w.startInstances(s)
	if err != nil {
		return all, err
	}
	if err := awaitReady(all, 15*time.Second); err != nil {
		return all, err
	}
	time.Sleep(4 * time.Second)
	return all, nil
}

// ordersCase: upstreams are replaced one after the other while faulty ones send a second, late copy of a few of their answers.
func ordersCase(w *world) error {
	w.workMean, w.workMax = 200*time.Millisecond, 1200*time.Millisecond
	all, err := startAll(w, 12, settings{})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 85*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		w.traffic(ctx, all, 280)
		close(done)
	}()
	go func() { // The second copies come in spells of 5 s.
		for ctx.Err() == nil && w.trouble {
			w.setSpoilShare(copiedShare)
			sleep(ctx, 5*time.Second)
			w.setSpoilShare(0)
			sleep(ctx, 200*time.Millisecond)
		}
	}()
	for next := 0; ctx.Err() == nil; next++ {
		old := w.allUpstreams()[next]
		if _, err := w.addUpstream("hyttebog", old.zone, 3*time.Second, next%5 < 3); err != nil {
			return err
		}
		sleep(ctx, time.Second)
		w.log("operator", old.id, "leaves")
		go old.leave()
	}
	<-done
	return nil
}

const (
	// copiedShare is the largest share of the answers of a faulty upstream of which a second copy comes late.
	copiedShare = 0.03
	// copiedOrders is the share of its answers to orders that it sends twice within that.
	copiedOrders = 0.15
)

func (w *world) setSpoilShare(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoilShare = share
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// headsCase: faulty upstreams send bytes that are no answer in place of a few of their answers.
func headsCase(w *world) error {
	all, err := startAll(w, 9, settings{})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if w.trouble {
		w.mu.Lock()
		w.malformShare = 0.02
		w.mu.Unlock()
	}
	w.traffic(ctx, all, 100)
	return nil
}

// aheadCase: a crowd of clients sends requests ahead, and does not read the answers.
func aheadCase(w *world) error {
	const memoryMB, clients = 144, 250
	w.workMean, w.workMax, w.bodyBytes, w.crowdDeadline = 10*time.Millisecond, 40*time.Millisecond, aheadBody, 8*time.Second
	w.lookupTimeout = 8500 * time.Millisecond
	all, err := startAll(w, 24, settings{
		memoryMB: memoryMB, maxFDs: 3075, contracts: `"base","drain","config","cost","retry","recover","own","places","pressure","platform"`,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	kills := make([]int, len(all))
	for n, i := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			kills[n] = w.guardMemory(ctx, i, memoryMB)
		}()
	}
	for range crowdSpells {
		calm, calmed := context.WithTimeout(ctx, 8*time.Second)
		w.traffic(calm, all, 150)
		calmed()
		spell, ended := context.WithTimeout(ctx, 7*time.Second)
		var crowds sync.WaitGroup
		for _, i := range all[:crowdedMachines] {
			crowds.Add(1)
			go func() {
				defer crowds.Done()
				w.crowd(spell, i, clients, !w.trouble)
			}()
		}
		crowds.Wait()
		ended()
	}
	cancel()
	wg.Wait()
	often := 0
	for _, n := range kills {
		if n >= 3 {
			often++
		}
	}
	if often >= 2 {
		w.fail("Fault", fmt.Sprintf("processes were killed for their memory %v times on the machines %v: three times or more on %d of them", kills, names(all), often))
	}
	return nil
}

const (
	// aheadBody is the size of the answers, in bytes.
	aheadBody = 60000
	// crowdSpells is how often the crowd comes.
	crowdSpells = 5
	// crowdedMachines is the number of machines at which the crowd comes.
	crowdedMachines = 2
)

func names(all []*instance) (list []string) {
	for _, i := range all {
		list = append(list, i.name)
	}
	return list
}
