package storer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
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
	// Era decodes the era of the store from an answer; ok is false if the answer states none. All other methods have bare
	// revisions for versions.
	Era(header http.Header) (era identifier.Era, ok bool)
}

// KindClient is the client of a platform whose objects are grouped in kinds. It is safe for concurrent use.
type KindClient struct {
	client  *Client
	dialect Dialect
	era     atomic.Uint32 // The highest era that an answer has stated.
}

// NewKindClient returns a client that makes the calls of dialect through client, within its budget and
// time-out.
func NewKindClient(client *Client, dialect Dialect) *KindClient {
	return &KindClient{client: client, dialect: dialect}
}

// List returns all objects of a kind, page by page. Objects of later pages may be newer than the
// returned revision, which is that of the first page. It returns ErrMalformedAnswer if an answer does not
// decode, or an error as Get does.
func (k *KindClient) List(ctx context.Context, kind ObjectKind) (Page, error) {
	var all Page
	after, era := "", identifier.Era(0)
	for {
		body, pageEra, err := k.call(ctx, k.dialect.List(k.client.base.New(), kind, after), k.client.timeout)
		if err == nil && after != "" && pageEra != era {
			err = fmt.Errorf("%w: pages of eras %d and %d", ErrHistoryGone, era, pageEra)
		}
		if err != nil {
			return Page{}, fmt.Errorf("list %s: %w", kind, err)
		}
		era = pageEra
		page, err := k.dialect.DecodePage(body)
		if err == nil {
			err = page.setEra(era)
		}
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
	body, era, err := k.call(ctx, k.dialect.Get(k.client.base.New(), kind, name), k.client.timeout)
	if err != nil {
		return Object{}, fmt.Errorf("get %s/%s: %w", kind, name, err)
	}
	o, err := k.dialect.DecodeObject(body)
	if err == nil {
		err = setEra(&o.Version, era)
	}
	if err != nil {
		return Object{}, fmt.Errorf("get %s/%s: %w: %w", kind, name, ErrMalformedAnswer, err)
	}
	return o, nil
}

// Watch waits until an object of a kind has changed after the revision from, at most for wait, and
// returns the changes. It returns ErrHistoryGone if the platform no longer has them all or is in another era than from, or
// an error as Get does.
func (k *KindClient) Watch(ctx context.Context, kind ObjectKind, from identifier.Version, wait time.Duration) (Events, error) {
	revision, err := k.revisionOf(from)
	if err != nil {
		return Events{}, fmt.Errorf("watch %s from %d: %w: %w", kind, from, ErrHistoryGone, err)
	}
	body, era, err := k.call(ctx, k.dialect.Watch(k.client.base.New(), kind, revision, wait), wait+k.client.timeout)
	if err == nil && k.inEras() && era != from.Era() {
		err = fmt.Errorf("%w: answer of era %d", ErrHistoryGone, era)
	}
	if err != nil {
		return Events{}, fmt.Errorf("watch %s from %d: %w", kind, from, err)
	}
	events, err := k.dialect.DecodeEvents(body)
	if err == nil {
		err = events.setEra(era)
	}
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
	body, era, err := k.change(ctx, func(revision identifier.Version) *sling.Sling {
		return k.dialect.Put(k.client.base.New(), kind, name, revision, data)
	}, string(kind)+"/"+name, expected)
	if err != nil {
		return 0, fmt.Errorf("write %s/%s: %w", kind, name, err)
	}
	o, err := k.dialect.DecodeObject(body)
	if err == nil {
		err = setEra(&o.Version, era)
	}
	if err != nil {
		return 0, fmt.Errorf("write %s/%s: %w: %w", kind, name, ErrOutcomeUnknown, err)
	}
	return o.Version, nil
}

// Delete removes an object if its version is the expected one. Its errors are those of Put; a ConflictError has the
// version 0 if the object does not exist.
func (k *KindClient) Delete(ctx context.Context, kind ObjectKind, name string, expected identifier.Version) error {
	_, _, err := k.change(ctx, func(revision identifier.Version) *sling.Sling {
		return k.dialect.Delete(k.client.base.New(), kind, name, revision)
	}, string(kind)+"/"+name, expected)
	if err != nil {
		return fmt.Errorf("delete %s/%s: %w", kind, name, err)
	}
	return nil
}

// change makes the call that build returns, which changes an object at version expected, and returns the body of its answer
// and the era of that. A version of an older era than is known is a conflict, since its revision may have been given out
// again. If the era of the answer is another one than that in which the call was made, the outcome is unknown.
func (k *KindClient) change(ctx context.Context, build func(revision identifier.Version) *sling.Sling, object string, expected identifier.Version) ([]byte, identifier.Era, error) {
	revision, err := k.revisionOf(expected)
	if err != nil {
		return nil, 0, &ConflictError{Name: object, Expected: expected}
	}
	before := identifier.Era(k.era.Load())
	status, header, body, err := k.client.do(ctx, build(revision), k.client.timeout)
	if errors.Is(err, ErrUnavailable) {
		return nil, 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if err != nil {
		return nil, 0, err
	}
	era, late := k.record(header)
	switch {
	case era != before || late:
		return nil, 0, fmt.Errorf("%w: call of era %d, answer of era %d", ErrOutcomeUnknown, before, era)
	case status == http.StatusConflict, status == http.StatusNotFound:
		present, _ := k.dialect.DecodeObject(body) // The version is 0 if the answer has no object.
		if present.Version != 0 && setEra(&present.Version, era) != nil {
			present.Version = 0
		}
		return nil, 0, &ConflictError{Name: object, Expected: expected, Present: present.Version}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return nil, 0, fmt.Errorf("%w: HTTP status %d", ErrUnavailable, status)
	case status < http.StatusOK || status >= http.StatusMultipleChoices:
		return nil, 0, fmt.Errorf("%w: HTTP status %d", ErrOutcomeUnknown, status)
	}
	return body, era, nil
}

// call makes a call that reads, and returns the body of its answer and the era of that. An answer with status 404 gives
// ErrNotFound, one with 410 ErrHistoryGone, and one with any other status but 200 ErrUnavailable. An answer of an older era
// than another answer had is dropped, with ErrHistoryGone: the call must be repeated.
func (k *KindClient) call(ctx context.Context, call *sling.Sling, timeout time.Duration) ([]byte, identifier.Era, error) {
	status, header, body, err := k.client.do(ctx, call, timeout)
	if err != nil {
		return nil, 0, err
	}
	era, late := k.record(header)
	switch {
	case late:
		return nil, 0, fmt.Errorf("%w: answer of the former era %d", ErrHistoryGone, era)
	case status == http.StatusOK:
		return body, era, nil
	case status == http.StatusNotFound:
		return nil, 0, ErrNotFound
	case status == http.StatusGone:
		return nil, 0, ErrHistoryGone
	default:
		return nil, 0, fmt.Errorf("%w: HTTP status %d, want 200", ErrUnavailable, status)
	}
}
