// Package identifier holds the named types for ids and units that every other
// package shares, and the rules by which text from outside becomes one of them.
package identifier

import (
	"cmp"
	"fmt"
	"regexp"
	"strconv"
)

// Organisation names a customer of the system (a tenant).
type Organisation string

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

// Cell is a part of a zone's backend servers whose keys the same processes grant, so that
// a zone with many servers has many granters.
type Cell struct {
	_    struct{} `cbor:",toarray"`
	Zone Zone
	Part int `json:",omitempty"`
}

// String returns the cell's name: that of its zone, and the part's number if it is not the
// first.
func (c Cell) String() string {
	if c.Part == 0 {
		return string(c.Zone)
	}
	return string(c.Zone) + "." + strconv.Itoa(c.Part)
}

// Compare orders cells by zone and part.
func (c Cell) Compare(other Cell) int {
	return cmp.Or(cmp.Compare(c.Zone, other.Zone), cmp.Compare(c.Part, other.Part))
}

// BackendServer names a server that owns partitions and runs requests (an upstream).
type BackendServer string

// Instance names one entry instance of the daemon. A restarted process has a new
// Incarnation under the same name.
type Instance string

// Incarnation tells apart the processes that ran under one name, and the
// self-refutations of one process. It only grows.
type Incarnation uint64

// Partition is the number of a partition within its service.
type Partition uint32

// Epoch counts the changes of owner of one partition. It is the fencing token of
// the partition: a backend server refuses a lower one.
type Epoch uint64

// Term counts the changes of coordinator of one backend server. The backend
// server accepts orders of the highest term that it has seen only.
type Term uint64

// Version is the platform's version of an object: the platform's revision at the
// object's last write, so versions of all objects share one order.
type Version uint64

// Key is a caller's key within a keyed service.
type Key string

// RequestID is the caller's Idempotency-Key.
type RequestID string

// maxNameLength bounds organisation, service, zone, instance and backend server
// names, in bytes; the DNS label limit.
const maxNameLength = 63

// MaxKeyLength bounds a key, in bytes.
const MaxKeyLength = 512

// MaxRequestIDLength bounds an Idempotency-Key, in bytes.
const MaxRequestIDLength = 128

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// InvalidError reports a text that cannot be used as an identifier.
type InvalidError struct {
	Field string
	Value string
	Rule  string
}

// Error names the field, the value and the rule that the value breaks.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %q is not valid: %s", e.Field, shorten(e.Value), e.Rule)
}

// shorten keeps hostile input from filling logs and answers.
func shorten(s string) string {
	const most = 80
	if len(s) <= most {
		return s
	}
	return s[:most] + "..."
}

// CheckName checks a name of an organisation, service, zone, instance or backend
// server; field is the word that the error uses for it.
func CheckName(field, value string) error {
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		return &InvalidError{field, value, fmt.Sprintf(
			"1 to %d lower-case letters, digits and inner hyphens are allowed", maxNameLength)}
	}
	return nil
}

// CheckKey checks a caller's key: 1 to MaxKeyLength bytes, no control characters.
func CheckKey(value string) error {
	if value == "" || len(value) > MaxKeyLength {
		return &InvalidError{"Key", value, fmt.Sprintf("1 to %d bytes are allowed", MaxKeyLength)}
	}
	return checkPrintable("Key", value)
}

// CheckRequestID checks an Idempotency-Key: 1 to MaxRequestIDLength printable bytes.
func CheckRequestID(value string) error {
	if value == "" || len(value) > MaxRequestIDLength {
		return &InvalidError{"Idempotency-Key", value,
			fmt.Sprintf("1 to %d bytes are allowed", MaxRequestIDLength)}
	}
	return checkPrintable("Idempotency-Key", value)
}

func checkPrintable(field, value string) error {
	for i := range len(value) {
		if value[i] < 0x20 || value[i] == 0x7f {
			return &InvalidError{field, value, "control characters are not allowed"}
		}
	}
	return nil
}
