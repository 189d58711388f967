// Package identifier holds the named types for identifiers and units that all other packages share,
// and the checks that text from outside must pass to become one of them.
//
// identifier.go holds names, counters and their checks; shardkey.go holds numeric keys and ranges of
// them.
package identifier

import (
	"cmp"
	"fmt"
	"regexp"
	"strconv"
)

// Organisation names a customer of the system, which owns services.
type Organisation string

// Tenant names a group of callers that authenticate with API keys.
type Tenant string

// Service names a service within one organisation.
type Service string

// ServiceName names a service across organisations.
type ServiceName struct {
	Organisation Organisation
	Service      Service
}

// String returns the name as "organisation/service".
func (n ServiceName) String() string {
	return string(n.Organisation) + "/" + string(n.Service)
}

// Zone names an availability zone.
type Zone string

// Cell identifies a part of a zone's backend servers whose keys the same processes grant. A zone
// with many servers has several cells, and so several granters.
type Cell struct {
	_    struct{} `cbor:",toarray"`
	Zone Zone
	Part int `json:",omitempty"`
}

// String returns the zone's name for the first part, else "zone.part".
func (c Cell) String() string {
	if c.Part == 0 {
		return string(c.Zone)
	}
	return string(c.Zone) + "." + strconv.Itoa(c.Part)
}

// Compare orders cells by zone, then by part. It returns -1, 0 or 1.
func (c Cell) Compare(other Cell) int {
	return cmp.Or(cmp.Compare(c.Zone, other.Zone), cmp.Compare(c.Part, other.Part))
}

// BackendServer names a server that owns partitions and runs requests (an upstream).
type BackendServer string

// Instance names one entry instance of the daemon. A restarted process has a new Incarnation under
// the same name.
type Instance string

// Incarnation distinguishes the processes that ran under one name. A process also raises its own to
// refute a false report of its death. It only grows.
type Incarnation uint64

// Partition is the number of a partition within its service.
type Partition uint32

// Epoch counts the changes of owner of one partition. It is the fencing token of the partition: a
// backend server refuses orders with an epoch lower than the highest that it has seen.
type Epoch uint64

// Term counts the changes of coordinator of one backend server. The server accepts only orders of
// the highest term that it has seen.
type Term uint64

// Version is the platform's version of an object: the store's revision at the last write of the
// object, below the store's era. The versions of all objects therefore share one order. See era.go.
type Version uint64

// Key is a caller's key within a keyed service.
type Key string

// RequestID is the value of the caller's Idempotency-Key header.
type RequestID string

// maxNameLength bounds the names of organisations, services, zones, instances and backend servers,
// in bytes. It is the limit of a DNS label.
const maxNameLength = 63

// MaxKeyLength bounds a key, in bytes.
const MaxKeyLength = 512

// MaxRequestIDLength bounds an Idempotency-Key, in bytes.
const MaxRequestIDLength = 128

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// InvalidError reports that a text is not a valid identifier. Reason states what is allowed.
type InvalidError struct {
	Field  string
	Value  string
	Reason string
}

// Error names the field, the value (cut to 80 bytes) and the rule that the value breaks.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %q is not valid: %s", e.Field, shorten(e.Value), e.Reason)
}

// shorten cuts a text to 80 bytes, so that hostile input can't fill logs and answers.
func shorten(s string) string {
	const most = 80
	if len(s) <= most {
		return s
	}
	return s[:most] + "..."
}

// CheckName checks the name of an organisation, service, zone, instance or backend server. It
// returns an *InvalidError, in which field names the checked field, or nil.
func CheckName(field, value string) error {
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		return &InvalidError{field, value, fmt.Sprintf(
			"1 to %d lower-case letters, digits and inner hyphens are allowed", maxNameLength)}
	}
	return nil
}

// CheckKey checks a caller's key: 1 to MaxKeyLength bytes without control characters. It returns an
// *InvalidError or nil.
func CheckKey(value string) error {
	if value == "" || len(value) > MaxKeyLength {
		return &InvalidError{"Key", value, fmt.Sprintf("1 to %d bytes are allowed", MaxKeyLength)}
	}
	return checkPrintable("Key", value)
}

// CheckRequestID checks an Idempotency-Key: 1 to MaxRequestIDLength bytes without control
// characters. It returns an *InvalidError or nil.
func CheckRequestID(value string) error {
	if value == "" || len(value) > MaxRequestIDLength {
		return &InvalidError{"Idempotency-Key", value,
			fmt.Sprintf("1 to %d bytes are allowed", MaxRequestIDLength)}
	}
	return checkPrintable("Idempotency-Key", value)
}

// checkPrintable returns an *InvalidError if value contains a control character.
func checkPrintable(field, value string) error {
	for i := range len(value) {
		if value[i] < 0x20 || value[i] == 0x7f {
			return &InvalidError{field, value, "control characters are not allowed"}
		}
	}
	return nil
}
