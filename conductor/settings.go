package conductor

import (
	"context"
	"net/http"
	"time"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/storer"
)

// Kinds names the kinds of the platform's objects that an instance reads. The last kind is that of
// the shared objects, which only instances write: members, rosters and allocations. ConfigObject is
// the name of the one object of kind Config that holds the routing configuration.
type Kinds struct {
	Servers, Config, Evacuations, Shared storer.ObjectKind
	ConfigObject                         string
}

// Codec translates the platform's objects and orders.
type Codec struct {
	HeaderNames    forwarder.HeaderNames
	HandoverHeader string // Header of the answer to a release that carries the handover text.
	DecodeEntry    func(storer.Object) (registrar.Entry, error)
	DecodeNotice   forwarder.NoticeDecoder
	// DecodeColdRemaining decodes for how much longer a backend server is cold, from its answer to a health call.
	DecodeColdRemaining func(http.Header) (time.Duration, error)
	DecodeTable         func([]byte) (*director.Table, error)
	EncodeOrder         func(leaser.Order) (path string, body []byte, err error)
}

// Settings configures one instance. RetryRatio is the number of retries allowed for each request
// within RetryWindow, and RetryExtra is a number of retries allowed on top of them. ColdOvershoot
// is a factor on the request rate that the routing configuration sets for cold backend servers, and
// ColdSlack is a number of requests per second added to the result.
type Settings struct {
	Instance         identifier.Instance
	Incarnation      identifier.Incarnation
	Zone             identifier.Zone
	Capacity         float64 // Relative capacity of the machine, used to choose the planner.
	FrontAddress     string
	ReadyAddress     string
	PeerAddress      string
	MetricsAddress   string
	Seeds            []string      // Peer addresses at which other instances may run.
	Callers          CallerLimits  // Bounds on callers' connections.
	BodyMemory       int64         // Bytes that the bodies of callers' requests may hold together.
	AnswerMemory     int64         // Bytes that answers may hold together which wait for others of their connections.
	PeerMemory       int64         // Bytes that messages and answers of other instances may hold together.
	Heartbeat        time.Duration // Time between two writes of a backend server's entry.
	MaxLeaseDuration time.Duration // Longest lease duration of a grant that the platform allows.
	GraceTime        time.Duration // Time from SIGTERM to SIGKILL.
	DrainTime        time.Duration // Time from a server's first draining entry to its last allowed request.
	EvacuationTime   time.Duration // Time from a zone's evacuation to the last allowed request to it.
	RetryRatio       float64
	RetryWindow      time.Duration
	RetryExtra       float64
	ColdOvershoot    float64
	ColdSlack        float64
	// PipelinedRequests says that callers send further requests before the first is answered, so that package pipeliner
	// serves their connections.
	PipelinedRequests bool
	QuotaWindow       time.Duration // The sliding window in which requests of a tenant are counted.
	QuotaOvershoot    float64       // The fraction by which the requests of a tenant may exceed its quota.
	QuotaSlack        float64       // A number of requests that a tenant may have in addition in a window.
	Bootstrap         bool          // The whole installation starts for the first time.
	CostAware         bool          // Requests are sent and refused by estimates of their work; see scheduler.Options.
	StrictRevoke      bool          // No request may run whose API key was removed longer ago than RevokeTime.
	RevokeTime        time.Duration
}

// Store is the client of the platform's store. Put writes an object if its present version is
// expected; it returns the new version, or a *storer.ConflictError if the version differs.
type Store interface {
	mirrorer.Platform
	Put(ctx context.Context, kind storer.ObjectKind, name string, expected identifier.Version, data []byte) (identifier.Version, error)
	// Delete removes an object if its present version is expected; its errors are those of Put.
	Delete(ctx context.Context, kind storer.ObjectKind, name string, expected identifier.Version) error
	// Era returns the highest era that an answer has stated; 0 if none did.
	Era() identifier.Era
}
