// Command standin plays one case of the review: it starts instances of turmericlift as processes, simulates the
// platform's store, upstreams and clients on loopback addresses, brings the disruption about and checks the rule.
//
// Start with main.go, which has the cases; world.go has the deployment and the check of the rule OWNER.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// play is a case: the size of the deployment, the disruption and how long the case goes on afterwards.
type play struct {
	upstreams, pooled, instances int
	work, longWork               time.Duration // Of requests, and of those to the path /supply/ if it is not 0.
	interval                     time.Duration // Between two requests of the clients.
	trouble                      func(w *world) error
	calm                         func(w *world) error // Takes the place of trouble if TROUBLE is 0; may be nil.
	after                        time.Duration
}

// calmTime is the time from the first request to the disruption.
const calmTime = 4 * time.Second

var plays = map[string]play{
	"reborn":     {upstreams: 6, pooled: 3, instances: 3, work: 100 * time.Millisecond, interval: 15 * time.Millisecond, trouble: rebornBehindCut, after: 5 * time.Second},
	"old-life":   {upstreams: 6, pooled: 3, instances: 3, work: 160 * time.Millisecond, interval: 10 * time.Millisecond, trouble: oldLifeReturns, after: 5 * time.Second},
	"no-born":    {upstreams: 6, pooled: 3, instances: 3, work: 100 * time.Millisecond, interval: 15 * time.Millisecond, trouble: entryWithoutBorn, after: 5 * time.Second},
	"cold-again": {upstreams: 6, pooled: 3, instances: 3, work: 50 * time.Millisecond, interval: 5 * time.Millisecond, trouble: coldAgain, after: 4 * time.Second},
	"late-loads": {upstreams: 6, pooled: 3, instances: 3, work: 50 * time.Millisecond, longWork: 800 * time.Millisecond, interval: 10 * time.Millisecond, calm: rollingStop, trouble: rollingStopWithLateLoads},
	"uploads":    {upstreams: 6, pooled: 3, instances: 3, work: 100 * time.Millisecond, interval: 25 * time.Millisecond, calm: singleUploads, trouble: largeUploads},
	"old-state":  {upstreams: 6, pooled: 3, instances: 3, work: 100 * time.Millisecond, interval: 25 * time.Millisecond, trouble: oldStateReturns, after: 3 * time.Second},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(statusNotRun)
	}
	p, ok := plays[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q does not exist\n", os.Args[1])
		os.Exit(statusNotRun)
	}
	os.Exit(run(p, os.Args[2]))
}

// run plays a case and returns the exit status. The environment variable TROUBLE=0 leaves out the disruption.
func run(p play, folder string) int {
	rec, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	w, err := newWorld(rec, p)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	w.goRun(w.watchOwners)
	w.goRun(w.watchReadiness)
	w.goRun(func() { w.runClients(p.interval) })
	time.Sleep(calmTime)
	trouble := p.trouble
	if os.Getenv("TROUBLE") == "0" {
		trouble = p.calm
	}
	if trouble != nil {
		if err := trouble(w); err != nil {
			rec.line("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			return statusNotRun
		}
	}
	time.Sleep(p.after)
	w.end()
	w.checkRuns()
	if len(w.violations) > 0 {
		fmt.Printf("broken: %s (%d in all, see record.txt)\n", w.violations[0], len(w.violations))
		return statusBroken
	}
	rec.line("the rules held")
	fmt.Println("held")
	return statusHeld
}
