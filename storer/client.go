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

// The HTTP headers of the object API.
const (
	HeaderVersion   = "Version"    // In an answer: the present version of the object.
	HeaderIfVersion = "If-Version" // In a write: the version that the object must have.
)

// maxAnswerBytes bounds the body of an answer, in bytes: a page of objects has about 1 MB, and JSON may double that.
const maxAnswerBytes = 16 << 20

// Budget bounds the platform calls that one client may start.
type Budget struct {
	CallsPerSecond float64
	Burst          int // The largest number of calls that may start at once.
}

// Client calls the platform's object API over HTTP. It is safe for concurrent use.
type Client struct {
	base    *sling.Sling
	client  *http.Client
	limiter *rate.Limiter
	timeout time.Duration
}

// New returns a client of the platform at baseURL. A call that takes longer than timeout, or a watch
// that takes timeout longer than its wait, ends as if the platform were down.
func New(baseURL string, client *http.Client, budget Budget, timeout time.Duration) *Client {
	return &Client{
		base:    sling.New().Base(strings.TrimSuffix(baseURL, "/") + "/"),
		client:  client,
		limiter: rate.NewLimiter(rate.Limit(budget.CallsPerSecond), budget.Burst),
		timeout: timeout,
	}
}

// Read returns an object. It returns ErrNotFound if the object does not exist, ErrUnavailable if the
// platform does not answer, ErrBudgetExhausted, or ErrOutcomeUnknown for any other answer.
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

// Write writes an object if its version is the expected one, or creates it if expected is 0 and it
// does not exist, and returns the new version. It returns a ConflictError or ErrBudgetExhausted if the object
// was not written, ErrOutcomeUnknown if the outcome is unknown, and an error without a platform call if
// data has more than MaxValueSize bytes.
func (c *Client) Write(ctx context.Context, name string, expected identifier.Version, data []byte) (identifier.Version, error) {
	if len(data) > MaxValueSize {
		return 0, fmt.Errorf("write %s: not sent, since the value has %d bytes and the limit is %d", name, len(data), MaxValueSize)
	}
	call := c.base.New().Put("v1/objects/"+name).
		Set(HeaderIfVersion, strconv.FormatUint(uint64(expected), 10)).
		Body(strings.NewReader(string(data)))
	status, header, _, err := c.do(ctx, call, c.timeout)
	if errors.Is(err, ErrUnavailable) {
		err = ErrOutcomeUnknown // The call may have reached the platform.
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

// Watch waits until an object whose name starts with prefix has changed after the revision from, at
// most for wait, and returns the objects that have changed. There are none if wait has passed. It
// returns ErrUnavailable if the platform does not answer or its answer does not decode, or ErrBudgetExhausted.
func (c *Client) Watch(ctx context.Context, prefix string, from identifier.Version, wait time.Duration) (WatchResult, error) {
	query := struct {
		Prefix string `url:"Prefix"`
		From   uint64 `url:"From"`
		WaitMs int64  `url:"WaitMs"`
	}{prefix, uint64(from), wait.Milliseconds()}
	var result WatchResult
	err := c.getJSON(ctx, c.base.New().Get("v1/watch").QueryStruct(query), wait+c.timeout, objectLevel, &result)
	if err != nil {
		return WatchResult{}, fmt.Errorf("watch %s from %d: %w", prefix, from, err)
	}
	return result, nil
}

var errNoInstance = errors.New("it does not describe an instance")

// InstanceList is the platform's list of live and leaving instances.
type InstanceList struct {
	Instances  []ListedInstance
	Unreadable []error // One for each item that does not decode; such an item names no instance.
}

// The levels at which an object and an instance stand in answers, for DropNested.
const (
	objectLevel   = 3
	instanceLevel = 2
)

// Instances returns the platform's list of live and leaving instances. Its errors are those of Watch.
func (c *Client) Instances(ctx context.Context) (InstanceList, error) {
	var items []json.RawMessage
	if err := c.getJSON(ctx, c.base.New().Get("v1/instances"), c.timeout, instanceLevel, &items); err != nil {
		return InstanceList{}, fmt.Errorf("list instances: %w", err)
	}
	var list InstanceList
	for n, item := range items {
		var i ListedInstance
		if err := json.Unmarshal(item, &i); err != nil || i.ID == "" {
			list.Unreadable = append(list.Unreadable, fmt.Errorf("item %d of the list of instances, ID %q: %w", n, i.ID, errors.Join(errNoInstance, err)))
			continue
		}
		list.Instances = append(list.Instances, i)
	}
	return list, nil
}

// getJSON makes a call and decodes its answer from JSON into the value that into points to. Items of the answer, which
// stand at itemLevel, are null if they are nested too deeply.
func (c *Client) getJSON(ctx context.Context, call *sling.Sling, timeout time.Duration, itemLevel int, into any) error {
	status, _, data, err := c.do(ctx, call, timeout)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%w: HTTP status %d, want 200", ErrUnavailable, status)
	}
	if err := json.Unmarshal(DropNested(data, itemLevel), into); err != nil {
		return fmt.Errorf("%w: JSON answer does not decode: %w", ErrUnavailable, err)
	}
	return nil
}

// do makes a call and returns the status, headers and body of its answer. It returns ErrBudgetExhausted if the
// budget is used up, or ErrUnavailable if there is no whole answer within timeout.
func (c *Client) do(ctx context.Context, call *sling.Sling, timeout time.Duration) (int, http.Header, []byte, error) {
	if !c.limiter.Allow() {
		return 0, nil, nil, ErrBudgetExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := call.Request()
	if err != nil {
		return 0, nil, nil, fmt.Errorf("build platform call: %w", err)
	}
	resp, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%w: answer ended early: %w", ErrUnavailable, err)
	}
	if len(data) > maxAnswerBytes {
		return 0, nil, nil, fmt.Errorf("%w: answer has more than %d bytes", ErrUnavailable, maxAnswerBytes)
	}
	return resp.StatusCode, resp.Header, data, nil
}

// versionOf returns the version of the object in an answer with status 200 or 409. It returns
// ErrBudgetExhausted for status 429, and ErrOutcomeUnknown for any other status or if the version is missing.
func versionOf(status int, header http.Header) (identifier.Version, error) {
	if status == http.StatusTooManyRequests {
		return 0, fmt.Errorf("%w: platform refused the call for its limit of calls", ErrBudgetExhausted)
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return 0, fmt.Errorf("%w: HTTP status %d, want 200 or 409", ErrOutcomeUnknown, status)
	}
	v, err := strconv.ParseUint(header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: header %s is %q, want a number", ErrOutcomeUnknown, HeaderVersion, header.Get(HeaderVersion))
	}
	return identifier.Version(v), nil
}
