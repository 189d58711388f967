package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// repeatedAnswers is the number of answers that the faulty upstream sends a second time: less than 3 in 100 of those that it sends in 5 s.
const repeatedAnswers = 2

func init() { cases["late-order-answer"] = lateOrderAnswer }

// wouldHold reports until when an upstream would hold a key by the grants that it took. The caller holds the lock.
func (u *upstream) wouldHold(key int) time.Time {
	var until time.Time
	for _, g := range u.granted {
		if g.from <= key && key <= g.to {
			until = g.until
		}
	}
	return until
}

// ownerOf returns the upstream that holds a key.
func ownerOf(upstreams []*upstream, key int) *upstream {
	for _, u := range upstreams {
		u.mu.Lock()
		_, ok := u.holds(key)
		u.mu.Unlock()
		if ok {
			return u
		}
	}
	return nil
}

// await calls fn until it returns true.
func await(within time.Duration, fn func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if fn() {
			return true
		}
	}
	return false
}

// lateOrderAnswer drains an upstream while it is at work. With the disruption it sends a second copy of an order's answer late, when
// the answer to the release is expected.
func lateOrderAnswer(rec *recorder, program string, trouble bool) (verdict, error) {
	in, err := newInstallation(rec, program, []string{"jyl-nord", "jyl-midt"})
	if err != nil {
		return failed, err
	}
	defer in.stop()
	for n, zone := range []string{"jyl-nord", "jyl-nord", "jyl-midt", "jyl-midt"} {
		if _, err := in.addUpstream(fmt.Sprintf("i-%d", n+1), "hyttebog", zone, 6, true); err != nil {
			return failed, err
		}
	}
	in.configure(7, map[string]bool{"hyttebog": true}, []route{{"read", "/lohu930/", "safe", "hyttebog", 2}, {"write", "/pufi791/", "unsafe", "hyttebog", 2.5}})
	if err := in.startAll(); err != nil {
		return failed, err
	}
	allHeld := func() bool {
		for key := 0; key < 65536; key += 512 {
			if ownerOf(in.upstreams, key) == nil {
				return false
			}
		}
		return true
	}
	if !await(20*time.Second, allHeld) {
		return failed, errors.New("the keys are not granted")
	}
	time.Sleep(3 * time.Second)
	a := ownerOf(in.upstreams, 0)
	if a == nil {
		return failed, errors.New("no upstream holds the first key")
	}
	var keys []int
	for key := 0; key < 65536 && len(keys) < a.slots; key += 512 {
		a.mu.Lock()
		_, ok := a.holds(key)
		a.mu.Unlock()
		if ok && (len(keys) == 0 || key-keys[len(keys)-1] >= 2048) { // Of different grants.
			keys = append(keys, key)
		}
	}
	rec.add("upstream %s holds the keys %v of different grants", a.id, keys)
	a.work = func(r *http.Request) time.Duration {
		if r.Method == http.MethodPost {
			return 1500 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	if trouble {
		a.repeatOrders.Store(repeatedAnswers)
	}
	before := a.orders.Load()
	var breaks atomic.Int64
	for _, u := range in.upstreams {
		if u == a {
			continue
		}
		u.mu.Lock()
		u.onGrant = func(from, to int, fence uint64) {
			a.mu.Lock()
			defer a.mu.Unlock()
			for _, r := range a.runs {
				if until := a.wouldHold(r.key); r.ended.IsZero() && from <= r.key && r.key <= to && time.Now().Before(until) {
					breaks.Add(1)
					rec.add("OWNER: upstream %s is given key %d (%d-%d, fence %d) on which %s still runs %s; its hold would have run out in %s",
						u.id, r.key, from, to, fence, a.id, r.id, time.Until(until).Round(time.Millisecond))
				}
			}
		}
		u.mu.Unlock()
	}
	var requests sync.WaitGroup
	for n, key := range keys {
		requests.Add(1)
		go func() {
			defer requests.Done()
			call(rec, in.instances[0].front, http.MethodPost, "/pufi791/a", fmt.Sprintf("w%d", n), key, 2500*time.Millisecond, []byte("x"))
		}()
	}
	if !await(2*time.Second, func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.running == len(keys) }) {
		return failed, errors.New("the requests do not run")
	}
	time.Sleep(100 * time.Millisecond)
	rec.add("upstream %s reports draining", a.id)
	a.setState("draining")
	requests.Wait()
	for _, key := range keys {
		if !await(10*time.Second, func() bool { u := ownerOf(in.upstreams, key); return u != nil && u != a }) {
			return failed, errors.New("a key did not move")
		}
		rec.add("key %d is held by %s", key, ownerOf(in.upstreams, key).id)
	}
	rec.add("upstream %s has sent %d answers to orders since the requests began, of which at most %d twice", a.id, a.orders.Load()-before, repeatedAnswers)
	if breaks.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
