package main

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// rebornBehindCut partitions one of six upstreams from the store for 2.2 s. Behind the cut it crashes and starts again
// under its id.
func rebornBehindCut(w *world) error {
	u := w.upstreams[1]
	u.awaitBeat()
	u.setCut(true)
	time.Sleep(50 * time.Millisecond)
	u.crash()
	time.Sleep(150 * time.Millisecond)
	if err := u.start(coldTime); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	u.setCut(false)
	return nil
}

// oldLifeReturns restarts an upstream as planned: it reports that it is draining, ends and starts again under its id. The
// answer to its last write before the end is lost, and the store carries that write out 5.9 s later.
func oldLifeReturns(w *world) error {
	u := w.upstreams[1]
	u.drain()
	time.Sleep(drainTime + 500*time.Millisecond)
	u.mu.Lock()
	l := u.current
	u.mu.Unlock()
	old := u.entry(l)
	sentAt := time.Now()
	w.rec.line("upstream %s: its write of sequence %v gets no answer", u.id, old["sequence"])
	u.crash()
	time.Sleep(300 * time.Millisecond)
	if err := u.start(coldTime); err != nil {
		return err
	}
	time.Sleep(5900*time.Millisecond - time.Since(sentAt))
	w.rec.line("store: the write of sequence %v by the former incarnation of %s is carried out late", old["sequence"], u.id)
	w.store.beat(u.id, old)
	return nil
}

// entryWithoutBorn replaces an upstream's entry, as another writer, by one in which the field born is missing.
func entryWithoutBorn(w *world) error {
	u := w.busiest()
	u.awaitBeat()
	u.mu.Lock()
	l := u.current
	u.mu.Unlock()
	entry := maps.Clone(u.entry(l))
	delete(entry, "born")
	w.rec.line("another writer: writes the entry of %s without the field born", u.id)
	w.store.put("servers", u.id, entry)
	return nil
}

// oldStateReturns loses the answer to an upstream's write. More than contact_s later the upstream reports that it is
// draining, and the store carries the old write, which says that it is ready, out after another 2.8 s.
func oldStateReturns(w *world) error {
	u := w.upstreams[6]
	u.awaitBeat()
	time.Sleep(beatInterval - 100*time.Millisecond)
	u.mu.Lock()
	l := u.current
	u.mu.Unlock()
	old := u.entry(l)
	sentAt := time.Now()
	w.rec.line("upstream %s: its write of sequence %v gets no answer", u.id, old["sequence"])
	time.Sleep(3100 * time.Millisecond)
	for u.load(l) != fmt.Sprintf("0,0,%d,100", upstreamSlots) { // An upstream with requests tells in their answers that it leaves.
		time.Sleep(time.Millisecond)
	}
	u.drain()
	time.Sleep(5900*time.Millisecond - time.Since(sentAt))
	w.rec.line("store: the write of sequence %v by %s is carried out late", old["sequence"], u.id)
	w.store.beat(u.id, old)
	return nil
}

// rollingStop stops the instances in turn and starts each again, twice.
func rollingStop(w *world) error {
	for _, e := range slices.Concat(w.entries, w.entries) {
		e.term()
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			return err
		}
		for !e.isReady() {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
	}
	return nil
}

// rollingStopWithLateLoads does the same while the upstreams tell the load that they had a second ago.
func rollingStopWithLateLoads(w *world) error {
	for _, u := range w.upstreams {
		u.mu.Lock()
		u.loadLag = time.Second
		u.mu.Unlock()
	}
	w.rec.line("upstreams: tell the load of a second ago from now on")
	time.Sleep(3 * time.Second)
	return rollingStop(w)
}

// coldAgain makes an upstream cold again just after it has written its entry.
func coldAgain(w *world) error {
	u := w.upstreams[6]
	u.awaitBeat()
	u.turnCold()
	return nil
}
