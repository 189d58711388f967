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

// loadOptions holds the flags of the command load.
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
	// maxLatencyUs is the highest latency that is recorded, in microseconds; higher ones count as this one.
	maxLatencyUs = 60_000_000
	// latencyDigits is the number of significant digits of recorded latencies.
	latencyDigits = 3
	// maxOutstanding bounds the requests that wait for an answer; a request beyond it is not sent and counts as NotSent.
	maxOutstanding = 20_000
)

func setUpLoad(c *kingpin.CmdClause) func(context.Context, *console) error {
	o := &loadOptions{}
	c.Flag("target", "URL of an instance for callers; may be repeated, requests alternate between the URLs.").Required().StringsVar(&o.targets)
	c.Flag("path", "Path of the requests; KEY in it is replaced by the key of each request.").Required().StringVar(&o.path)
	c.Flag("method", "Method of the requests; each POST has its own request ID.").Default("GET").EnumVar(&o.method, "GET", "POST")
	c.Flag("rate", "Requests per second, sent whether or not earlier ones have been answered.").Default("100").Float64Var(&o.rate)
	c.Flag("duration", "How long to send requests.").Default("10s").DurationVar(&o.duration)
	c.Flag("keys", "Number of different keys.").Default("1000").IntVar(&o.keys)
	c.Flag("skew", "Exponent of the keys' Zipf distribution, above 1; 0 for a uniform distribution.").Default("0").Float64Var(&o.skew)
	c.Flag("request-timeout", "Time-out of each request.").Default("5s").DurationVar(&o.timeout)
	c.Flag("seed", "Seed of the random numbers.").Default("1").Uint64Var(&o.seed)
	c.Flag("csv", "Print comma-separated values.").BoolVar(&o.csv)
	return func(ctx context.Context, con *console) error { return con.runLoad(ctx, o) }
}

// answerCounts counts the answers to the requests of a load and their latencies. It is safe for concurrent use.
type answerCounts struct {
	mu sync.Mutex
	// latencies holds the latencies of requests that ran, in microseconds.
	latencies *hdrhistogram.Histogram
	// refusedLatencies holds the latencies of all other requests, in microseconds.
	refusedLatencies *hdrhistogram.Histogram
	outcomes         map[string]int
}

func newAnswerCounts() *answerCounts {
	return &answerCounts{
		latencies: hdrhistogram.New(1, maxLatencyUs, latencyDigits), refusedLatencies: hdrhistogram.New(1, maxLatencyUs, latencyDigits),
		outcomes: map[string]int{},
	}
}

// record counts an answer. latency is measured from the time at which the request should have been sent, not from when
// it was, so that the delay of requests that a slow answer held up is counted too.
func (counts *answerCounts) record(outcome string, latency time.Duration) {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.outcomes[outcome]++
	h := counts.refusedLatencies
	if strings.HasPrefix(outcome, "Ran") {
		h = counts.latencies
	}
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyUs))
}

// runLoad sends requests with a fixed mean rate, at times drawn from a Poisson process, until o.duration is over or ctx
// ends, waits for the answers and prints the result.
func (c *console) runLoad(ctx context.Context, o *loadOptions) error {
	source := rand.New(rand.NewPCG(o.seed, o.seed))
	var zipf *rand.Zipf
	if o.skew > 1 {
		zipf = rand.NewZipf(source, o.skew, 1, uint64(o.keys-1))
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}, Timeout: o.timeout}
	counts := newAnswerCounts()
	outstanding := make(chan struct{}, maxOutstanding)
	var wg sync.WaitGroup
	start := c.now()
	dueAt := start
	for n := 0; ctx.Err() == nil; n++ {
		dueAt = dueAt.Add(time.Duration(source.ExpFloat64() / o.rate * float64(time.Second)))
		if dueAt.Sub(start) >= o.duration {
			break
		}
		time.Sleep(dueAt.Sub(c.now()))
		key := source.IntN(o.keys)
		if zipf != nil {
			key = int(zipf.Uint64())
		}
		select {
		case outstanding <- struct{}{}:
		default:
			counts.record("NotSent", 0)
			continue
		}
		target, scheduledAt := o.targets[n%len(o.targets)], dueAt
		wg.Go(func() {
			defer func() { <-outstanding }()
			outcome := sendRequest(ctx, client, o, target, key, n)
			counts.record(outcome, c.now().Sub(scheduledAt))
		})
	}
	wg.Wait()
	return c.printLoadResult(o, counts)
}

// sendRequest sends request n for a key and returns the outcome and the result code of the answer, separated by a
// space, or BadRequest, NoAnswer or CutAnswer if there is no whole answer.
func sendRequest(ctx context.Context, client *http.Client, o *loadOptions, target string, key, n int) string {
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

// LoadResult is what turmericctl load prints. Outcomes counts the requests by outcome and result code; the latencies
// are quantiles in milliseconds.
type LoadResult struct {
	Outcomes     map[string]int
	RanPerSecond float64
	P50Ms        float64
	P99Ms        float64
	P999Ms       float64
	RefusedP99Ms float64
}

// printLoadResult prints the counts and latencies of a load as a table, JSON or, with --csv, comma-separated values.
func (c *console) printLoadResult(o *loadOptions, counts *answerCounts) error {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r := LoadResult{
		Outcomes: counts.outcomes, RanPerSecond: float64(counts.latencies.TotalCount()) / o.duration.Seconds(),
		P50Ms: ms(counts.latencies, 50), P99Ms: ms(counts.latencies, 99), P999Ms: ms(counts.latencies, 99.9), RefusedP99Ms: ms(counts.refusedLatencies, 99),
	}
	row := []string{
		fmt.Sprintf("%.0f", r.RanPerSecond), fmt.Sprintf("%.2f", r.P50Ms), fmt.Sprintf("%.2f", r.P99Ms),
		fmt.Sprintf("%.2f", r.P999Ms), fmt.Sprintf("%.2f", r.RefusedP99Ms), fmt.Sprint(counts.outcomes),
	}
	const header = "RanPerSecond P50Ms P99Ms P999Ms RefusedP99Ms Outcomes"
	if o.csv {
		fmt.Fprintln(c.out, strings.ReplaceAll(header, " ", ","))
		fmt.Fprintln(c.out, strings.Join(row, ","))
		return nil
	}
	return c.print(r, header, [][]string{row})
}
