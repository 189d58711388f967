package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"golang.org/x/time/rate"

	"github.com/turmericlift/turmericlift/identifier"
)

// The headers of the object API.
const (
	HeaderVersion   = "Version"
	HeaderIfVersion = "If-Version"
)

// Budget is the number of platform calls that one client may start.
type Budget struct {
	CallsPerSecond float64
	Burst          int
}

// Client calls the platform's object API over HTTP. It is safe for concurrent use.
type Client struct {
	base    *sling.Sling
	client  *http.Client
	limiter *rate.Limiter
	timeout time.Duration
}

// New returns a client of the platform at baseURL. A call other than a watch that
// takes longer than timeout counts as unavailable: a slow platform is treated as
// one that is down.
func New(baseURL string, client *http.Client, budget Budget, timeout time.Duration) *Client {
	return &Client{
		base:    sling.New().Base(strings.TrimSuffix(baseURL, "/") + "/"),
		client:  client,
		limiter: rate.NewLimiter(rate.Limit(budget.CallsPerSecond), budget.Burst),
		timeout: timeout,
	}
}

// Read returns an object, or ErrNotFound.
func (c *Client) Read(ctx context.Context, name string) (Object, error) {
	status, header, data, err := c.do(ctx, c.base.New().Get("v1/objects/"+name), c.timeout)
	if err != nil {
		return Object{}, fmt.Errorf("read %s: %w", name, err)
	}
	if status == http.StatusNotFound {
		return Object{}, fmt.Errorf("read %s: %w", name, ErrNotFound)
	}
	v, err := versionOf(status, header)
	if err != nil {
		return Object{}, fmt.Errorf("read %s: %w", name, err)
	}
	return Object{Name: name, Version: v, Data: data}, nil
}

// Write writes an object if its version is the expected one (0: if it does not
// exist), and returns the new version. It ends with a ConflictError, ErrUnknown,
// ErrUnavailable (not written) or ErrBudget (not written).
func (c *Client) Write(ctx context.Context, name string, expected identifier.Version, data []byte) (identifier.Version, error) {
	if len(data) > MaxValueSize {
		return 0, fmt.Errorf("write %s: value has %d bytes, the limit is %d", name, len(data), MaxValueSize)
	}
	call := c.base.New().Put("v1/objects/"+name).
		Set(HeaderIfVersion, strconv.FormatUint(uint64(expected), 10)).
		Body(strings.NewReader(string(data)))
	status, header, _, err := c.do(ctx, call, c.timeout)
	if errors.Is(err, ErrUnavailable) {
		err = ErrUnknown // The call may have reached the platform.
	}
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", name, err)
	}
	v, err := versionOf(status, header)
	if status == http.StatusConflict {
		return 0, &ConflictError{Name: name, Expected: expected, Present: v}
	}
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", name, err)
	}
	return v, nil
}

// Watch waits until an object under prefix changes after the revision from, or for
// wait, and returns what changed.
func (c *Client) Watch(ctx context.Context, prefix string, from identifier.Version, wait time.Duration) (Change, error) {
	query := struct {
		Prefix string `url:"Prefix"`
		From   uint64 `url:"From"`
		WaitMs int64  `url:"WaitMs"`
	}{prefix, uint64(from), wait.Milliseconds()}
	var change Change
	err := c.getJSON(ctx, c.base.New().Get("v1/watch").QueryStruct(query), wait+c.timeout, &change)
	if err != nil {
		return Change{}, fmt.Errorf("watch %s from %d: %w", prefix, from, err)
	}
	return change, nil
}

// Instances returns the platform's list of live and leaving instances.
func (c *Client) Instances(ctx context.Context) ([]Listed, error) {
	var list []Listed
	if err := c.getJSON(ctx, c.base.New().Get("v1/instances"), c.timeout, &list); err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	return list, nil
}

func (c *Client) getJSON(ctx context.Context, call *sling.Sling, timeout time.Duration, into any) error {
	status, _, data, err := c.do(ctx, call, timeout)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: answer does not decode: %w", ErrUnavailable, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, call *sling.Sling, timeout time.Duration) (int, http.Header, []byte, error) {
	if !c.limiter.Allow() {
		return 0, nil, nil, ErrBudget
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := call.Request()
	if err != nil {
		return 0, nil, nil, fmt.Errorf("build call: %w", err)
	}
	resp, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%w: answer cut: %w", ErrUnavailable, err)
	}
	return resp.StatusCode, resp.Header, data, nil
}

func versionOf(status int, header http.Header) (identifier.Version, error) {
	if status == http.StatusTooManyRequests {
		return 0, fmt.Errorf("%w: platform's call limit", ErrBudget)
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return 0, fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
	v, err := strconv.ParseUint(header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: header %s is %q", ErrUnknown, HeaderVersion, header.Get(HeaderVersion))
	}
	return identifier.Version(v), nil
}
