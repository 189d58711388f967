package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["retry-after"] = retryAfterLapse }

// retryAfterLapse has one of four upstreams turn requests away with Retry-After. With the disruption, it is cut off from the store
// meanwhile, so that its entry lapses and comes back.
func retryAfterLapse(rec *recorder, program string, trouble bool) (verdict, error) {
	in, err := newInstallation(rec, program, []string{"jyl-nord"})
	if err != nil {
		return failed, err
	}
	defer in.stop()
	for n := range 4 {
		u, err := in.addUpstream(fmt.Sprintf("i-%d", n+1), "reparation", "jyl-nord", 6, false)
		if err != nil {
			return failed, err
		}
		u.quiet = true
	}
	in.configure(7, map[string]bool{"reparation": false}, []route{{"read", "/lohu930/", "safe", "reparation", 2}})
	if err := in.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	x, start := in.upstreams[0], time.Now()
	x.mu.Lock()
	x.turnsAwayUntil = start.Add(retryAfter + time.Second)
	x.mu.Unlock()
	stop := start.Add(retryAfter + time.Second)
	for client := range 40 {
		go func() {
			for k := 0; time.Now().Before(stop); k++ {
				call(rec, in.instances[0].front, http.MethodGet, "/lohu930/a", fmt.Sprintf("a%d-%d", client, k), -1, 2*time.Second, nil)
				time.Sleep(30 * time.Millisecond)
			}
		}()
	}
	setSilent := func(silent bool) {
		x.mu.Lock()
		x.silent = silent
		x.mu.Unlock()
	}
	if trouble {
		time.Sleep(time.Second)
		setSilent(true)
		time.Sleep(3 * beatInterval)
		in.st.remove("servers", x.id)
		rec.add("entry of %s has lapsed: three heartbeats did not arrive", x.id)
		time.Sleep(2500 * time.Millisecond)
		setSilent(false)
		x.register()
		rec.add("entry of %s is back", x.id)
	}
	time.Sleep(time.Until(stop) + 500*time.Millisecond)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.refusedAt.IsZero() {
		return failed, errors.New("no request was turned away")
	}
	within := 0
	for _, at := range x.arrivals {
		if d := at.Sub(x.refusedAt); d > 500*time.Millisecond && d < retryAfter {
			within++
			rec.add("request reaches %s %s after it has asked for none for %s", x.id, d.Round(time.Millisecond), retryAfter)
		}
	}
	if within > 2 {
		return broken, nil
	}
	return held, nil
}
