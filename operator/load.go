package operator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"

	"github.com/turmericlift/turmericlift/receiver"
)

// loadOptions describe a load.
type loadOptions struct {
	targets  []string
	path     string
	method   string
	rate     float64
	duration time.Duration
	keys     int
	skew     float64
	timeout  time.Duration
	seed     uint64
	csv      bool
}

const (
	// maxLatencyUs bounds the latencies that are told apart, in microseconds.
	maxLatencyUs = 60_000_000
	// latencyDigits is the precision of the latencies.
	latencyDigits = 3
	// maxOutstanding bounds the requests under way; those beyond it count as failed.
	maxOutstanding = 20_000
)

func setUpLoad(c *kingpin.CmdClause) func(context.Context, *console) error {
	o := &loadOptions{}
	c.Flag("target", "URL that callers use; may be given again.").Required().StringsVar(&o.targets)
	c.Flag("path", "Path of the requests; KEY in it is replaced by a key.").Required().StringVar(&o.path)
	c.Flag("method", "Method of the requests; each POST has an ID of its own.").Default("GET").EnumVar(&o.method, "GET", "POST")
	c.Flag("rate", "Requests a second, sent whether or not earlier ones have been answered.").Default("100").Float64Var(&o.rate)
	c.Flag("duration", "How long to send.").Default("10s").DurationVar(&o.duration)
	c.Flag("keys", "Number of keys.").Default("1000").IntVar(&o.keys)
	c.Flag("skew", "Exponent of Zipf's law over the keys, above 1; 0 for even keys.").Default("0").Float64Var(&o.skew)
	c.Flag("request-timeout", "Time that each request is given.").Default("5s").DurationVar(&o.timeout)
	c.Flag("seed", "Seed of the load.").Default("1").Uint64Var(&o.seed)
	c.Flag("csv", "Print comma-separated values.").BoolVar(&o.csv)
	return func(ctx context.Context, con *console) error { return con.load(ctx, o) }
}

// tally counts the answers of a load.
type tally struct {
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // Of requests that ran, in microseconds.
	refusals  *hdrhistogram.Histogram // Of refused requests, in microseconds.
	outcomes  map[string]int
}

func newTally() *tally {
	return &tally{
		latencies: hdrhistogram.New(1, maxLatencyUs, latencyDigits), refusals: hdrhistogram.New(1, maxLatencyUs, latencyDigits),
		outcomes: map[string]int{},
	}
}

// take counts an answer. took runs from when the request was due, not from when it
// was sent, so that a slow answer is not hidden by the requests that it held up.
func (t *tally) take(outcome string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
	h := t.refusals
	if strings.HasPrefix(outcome, "Ran") {
		h = t.latencies
	}
	_ = h.RecordValue(min(max(took.Microseconds(), 1), maxLatencyUs))
}

// load sends requests at a fixed rate, at times drawn from a Poisson process.
func (c *console) load(ctx context.Context, o *loadOptions) error {
	source := rand.New(rand.NewPCG(o.seed, o.seed))
	var zipf *rand.Zipf
	if o.skew > 1 {
		zipf = rand.NewZipf(source, o.skew, 1, uint64(o.keys-1))
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}, Timeout: o.timeout}
	t := newTally()
	slots := make(chan struct{}, maxOutstanding)
	var wg sync.WaitGroup
	start := c.now()
	due := start
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(source.ExpFloat64() / o.rate * float64(time.Second)))
		if due.Sub(start) >= o.duration {
			break
		}
		time.Sleep(due.Sub(c.now()))
		key := source.IntN(o.keys)
		if zipf != nil {
			key = int(zipf.Uint64())
		}
		select {
		case slots <- struct{}{}:
		default:
			t.take("NotSent", 0)
			continue
		}
		target, at := o.targets[n%len(o.targets)], due
		wg.Go(func() {
			defer func() { <-slots }()
			outcome := sendOne(ctx, client, o, target, key, n)
			t.take(outcome, c.now().Sub(at))
		})
	}
	wg.Wait()
	return c.printLoad(o, t)
}

func sendOne(ctx context.Context, client *http.Client, o *loadOptions, target string, key, n int) string {
	path := strings.ReplaceAll(o.path, "KEY", fmt.Sprintf("key-%d", key))
	req, err := http.NewRequestWithContext(ctx, o.method, strings.TrimSuffix(target, "/")+path, nil)
	if err != nil {
		return "BadRequest"
	}
	if o.method == http.MethodPost {
		req.Header.Set(receiver.HeaderRequestID, fmt.Sprintf("load-%d-%d", o.seed, n))
	}
	req.Header.Set(receiver.HeaderTimeout, fmt.Sprint(o.timeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return "NoAnswer"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "CutAnswer"
	}
	return resp.Header.Get(receiver.HeaderOutcome) + " " + resp.Header.Get(receiver.HeaderCode)
}

// LoadResult is what turmericctl load prints.
type LoadResult struct {
	Outcomes     map[string]int
	RanPerSecond float64
	P50Ms        float64
	P99Ms        float64
	P999Ms       float64
	RefusedP99Ms float64
}

func (c *console) printLoad(o *loadOptions, t *tally) error {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r := LoadResult{
		Outcomes: t.outcomes, RanPerSecond: float64(t.latencies.TotalCount()) / o.duration.Seconds(),
		P50Ms: ms(t.latencies, 50), P99Ms: ms(t.latencies, 99), P999Ms: ms(t.latencies, 99.9), RefusedP99Ms: ms(t.refusals, 99),
	}
	row := []string{
		fmt.Sprintf("%.0f", r.RanPerSecond), fmt.Sprintf("%.2f", r.P50Ms), fmt.Sprintf("%.2f", r.P99Ms),
		fmt.Sprintf("%.2f", r.P999Ms), fmt.Sprintf("%.2f", r.RefusedP99Ms), fmt.Sprint(t.outcomes),
	}
	const header = "RanPerSecond P50Ms P99Ms P999Ms RefusedP99Ms Outcomes"
	if o.csv {
		fmt.Fprintln(c.out, strings.ReplaceAll(header, " ", ","))
		fmt.Fprintln(c.out, strings.Join(row, ","))
		return nil
	}
	return c.print(r, header, [][]string{row})
}
