package storer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/turmericlift/turmericlift/identifier"
)

// ObjectKind is the name of a kind: a collection of objects that is listed and watched as a whole.
type ObjectKind string

// ErrHistoryGone reports that the platform no longer has the changes since the watched revision. The
// caller must list the objects again.
var ErrHistoryGone = errors.New("platform no longer has the changes since the watched revision")

// Event is one change of an object: its new value, or its deletion.
type Event struct {
	Object  Object
	Deleted bool
}

// Page is a part of the list of the objects of a kind, or the whole list.
type Page struct {
	Objects  []Object
	More     bool               // True if the list goes on after the last of Objects.
	Revision identifier.Version // The revision of which the objects are a copy.
}

// Events is the result of a watch of a kind.
type Events struct {
	Events   []Event
	Revision identifier.Version // The revision from which to watch next.
}

// Dialect is the protocol of one platform for calls on objects that are grouped in kinds. It builds
// the calls and decodes the answers; the client that uses it interprets the status of an answer.
type Dialect interface {
	List(base *sling.Sling, kind ObjectKind, after string) *sling.Sling
	Get(base *sling.Sling, kind ObjectKind, name string) *sling.Sling
	Watch(base *sling.Sling, kind ObjectKind, from identifier.Version, wait time.Duration) *sling.Sling
	// Put builds the call that replaces the object at version expected, or creates it if expected is 0.
	Put(base *sling.Sling, kind ObjectKind, name string, expected identifier.Version, data []byte) *sling.Sling
	// Delete builds the call that removes the object at version expected.
	Delete(base *sling.Sling, kind ObjectKind, name string, expected identifier.Version) *sling.Sling
	DecodePage(body []byte) (Page, error)
	DecodeEvents(body []byte) (Events, error)
	DecodeObject(body []byte) (Object, error)
}

// KindClient is the client of a platform whose objects are grouped in kinds. It is safe for concurrent use.
type KindClient struct {
	client  *Client
	dialect Dialect
}

// NewKindClient returns a client that makes the calls of dialect through client, within its budget and
// time-out.
func NewKindClient(client *Client, dialect Dialect) *KindClient { return &KindClient{client, dialect} }

// List returns all objects of a kind, page by page. Objects of later pages may be newer than the
// returned revision, which is that of the first page. It returns ErrMalformedAnswer if an answer does not
// decode, or an error as Get does.
func (k *KindClient) List(ctx context.Context, kind ObjectKind) (Page, error) {
	var all Page
	after := ""
	for {
		body, err := k.call(ctx, k.dialect.List(k.client.base.New(), kind, after), k.client.timeout)
		if err != nil {
			return Page{}, fmt.Errorf("list %s: %w", kind, err)
		}
		page, err := k.dialect.DecodePage(body)
		if err != nil {
			return Page{}, fmt.Errorf("list %s: %w: %w", kind, ErrMalformedAnswer, err)
		}
		all.Objects = append(all.Objects, page.Objects...)
		if all.Revision == 0 {
			all.Revision = page.Revision // A watch from the revision of the first page misses no change.
		}
		if !page.More || len(page.Objects) == 0 {
			return all, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

// Get returns one object. It returns ErrNotFound if the object does not exist, ErrUnavailable if the
// platform does not answer, ErrMalformedAnswer if its answer does not decode, or ErrBudgetExhausted.
func (k *KindClient) Get(ctx context.Context, kind ObjectKind, name string) (Object, error) {
	body, err := k.call(ctx, k.dialect.Get(k.client.base.New(), kind, name), k.client.timeout)
	if err != nil {
		return Object{}, fmt.Errorf("get %s/%s: %w", kind, name, err)
	}
	o, err := k.dialect.DecodeObject(body)
	if err != nil {
		return Object{}, fmt.Errorf("get %s/%s: %w: %w", kind, name, ErrMalformedAnswer, err)
	}
	return o, nil
}

// Watch waits until an object of a kind has changed after the revision from, at most for wait, and
// returns the changes. It returns ErrHistoryGone if the platform no longer has them all, or an error
// as Get does.
func (k *KindClient) Watch(ctx context.Context, kind ObjectKind, from identifier.Version, wait time.Duration) (Events, error) {
	body, err := k.call(ctx, k.dialect.Watch(k.client.base.New(), kind, from, wait), wait+k.client.timeout)
	if err != nil {
		return Events{}, fmt.Errorf("watch %s from %d: %w", kind, from, err)
	}
	events, err := k.dialect.DecodeEvents(body)
	if err != nil {
		return Events{}, fmt.Errorf("watch %s from %d: %w: %w", kind, from, ErrMalformedAnswer, err)
	}
	return events, nil
}

// Put writes an object if its version is the expected one, or creates it if expected is 0 and it does
// not exist, and returns the new version. Its errors are those of Client.Write, and ErrUnavailable
// if the platform refused the call for now and the object was not written.
func (k *KindClient) Put(ctx context.Context, kind ObjectKind, name string, expected identifier.Version, data []byte) (identifier.Version, error) {
	if len(data) > MaxValueSize {
		return 0, fmt.Errorf("write %s/%s: not sent, since the value has %d bytes and the limit is %d", kind, name, len(data), MaxValueSize)
	}
	body, err := k.change(ctx, k.dialect.Put(k.client.base.New(), kind, name, expected, data), string(kind)+"/"+name, expected)
	if err != nil {
		return 0, fmt.Errorf("write %s/%s: %w", kind, name, err)
	}
	o, err := k.dialect.DecodeObject(body)
	if err != nil {
		return 0, fmt.Errorf("write %s/%s: %w: %w", kind, name, ErrOutcomeUnknown, err)
	}
	return o.Version, nil
}

// Delete removes an object if its version is the expected one. Its errors are those of Put; a ConflictError has the
// version 0 if the object does not exist.
func (k *KindClient) Delete(ctx context.Context, kind ObjectKind, name string, expected identifier.Version) error {
	_, err := k.change(ctx, k.dialect.Delete(k.client.base.New(), kind, name, expected), string(kind)+"/"+name, expected)
	if err != nil {
		return fmt.Errorf("delete %s/%s: %w", kind, name, err)
	}
	return nil
}

// change makes a call that changes an object at version expected, and returns the body of its answer.
func (k *KindClient) change(ctx context.Context, call *sling.Sling, object string, expected identifier.Version) ([]byte, error) {
	status, _, body, err := k.client.do(ctx, call, k.client.timeout)
	switch {
	case errors.Is(err, ErrUnavailable):
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case err != nil:
		return nil, err
	case status == http.StatusConflict, status == http.StatusNotFound:
		present, _ := k.dialect.DecodeObject(body) // The version is 0 if the answer has no object.
		return nil, &ConflictError{Name: object, Expected: expected, Present: present.Version}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%w: HTTP status %d", ErrUnavailable, status)
	case status < http.StatusOK || status >= http.StatusMultipleChoices:
		return nil, fmt.Errorf("%w: HTTP status %d", ErrOutcomeUnknown, status)
	}
	return body, nil
}

// call makes a call that reads, and returns the body of its answer. An answer with status 404 gives
// ErrNotFound, one with 410 ErrHistoryGone, and one with any other status but 200 ErrUnavailable.
func (k *KindClient) call(ctx context.Context, call *sling.Sling, timeout time.Duration) ([]byte, error) {
	status, _, body, err := k.client.do(ctx, call, timeout)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusOK:
		return body, nil
	case status == http.StatusNotFound:
		return nil, ErrNotFound
	case status == http.StatusGone:
		return nil, ErrHistoryGone
	default:
		return nil, fmt.Errorf("%w: HTTP status %d, want 200", ErrUnavailable, status)
	}
}
