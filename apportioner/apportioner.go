// Package apportioner divides bounds that hold for all instances together, such as the request rate of a cold backend
// server. The shares in use never add up to more than the bound, whatever each instance knows of the others: counting
// those that it can reach would let both sides of a network partition, or many instances that have just started, use the
// whole bound each.
//
// Each instance has a record in the platform's store, which outlives its process. An instance divides a bound by the
// number of records on its list, and has a share only while that list is younger than ListLifetime. The record of a new
// instance must be older than SettleTime before the instance has a share. By then, whoever still has one has read a list
// with that record, so each instance that has a share counts all others that have one. Likewise, the record of an instance
// that is gone for good is first marked as ended, and removed SettleTime later: until then it still counts, and an instance
// that finds its own record ended has no share.
//
// The package does no I/O and reads no clock: callers pass the current time. An Apportioner is not safe for concurrent
// use. All code is in apportioner.go.
package apportioner

import (
	"maps"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
)

const (
	// ListLifetime is how long a list of the records gives a share. It spans more than one interval between lists.
	ListLifetime = 10 * time.Second
	// SettleTime is the age that the record of a new instance must have. The margin is for clocks that differ in speed.
	SettleTime = ListLifetime + ListLifetime/50
	// maxCachedRanks bounds the cached ranks. Backend servers come and go, and each has a task of its own.
	maxCachedRanks = 4096
)

// Record is the record of an instance in the store.
type Record struct {
	Instance identifier.Instance
	Settled  bool // The record was older than SettleTime when it was written, so that its instance need not wait.
	Ended    bool // The record is to be removed.
}

// Share is the part of a bound that an instance may use. The zero Share is none.
type Share struct {
	Sharers int // The number of instances among which the bound is divided; 0 if this instance has no share.
	// Rank is the position of this instance among them, from 0. Of a bound that cannot be divided among all, those with
	// the lowest ranks get a part each.
	Rank int
}

// Of returns the whole number of parts that the share gives of a bound of so many parts.
func (s Share) Of(bound float64) int {
	if s.Sharers == 0 {
		return 0
	}
	parts := int(bound / float64(s.Sharers))
	if parts == 0 && s.Rank < int(bound) {
		return 1
	}
	return parts
}

// Apportioner holds what one instance knows of the records.
type Apportioner struct {
	self     identifier.Instance
	records  map[identifier.Instance]bool
	listedAt time.Time // When the newest list was requested.
	// recordedAt is when the own record was first seen; zero while there is none.
	recordedAt time.Time
	settled    bool // The own record says that it is settled.
	ranks      map[string]int
}

// New returns an Apportioner for an instance that has read no list.
func New(self identifier.Instance) *Apportioner {
	return &Apportioner{self: self, records: map[identifier.Instance]bool{}, ranks: map[string]int{}}
}

// RecordList applies the known records. requestedAt is when the newest complete list among them was requested; zero if
// there was none.
func (a *Apportioner) RecordList(now, requestedAt time.Time, records []Record) {
	known := make(map[identifier.Instance]bool, len(records))
	own := Record{}
	for _, r := range records {
		known[r.Instance] = true
		if r.Instance == a.self {
			own = r
		}
	}
	if !maps.Equal(known, a.records) {
		a.records = known
		clear(a.ranks)
	}
	a.settled = own.Settled && !own.Ended
	switch {
	case own.Instance == "", own.Ended:
		a.recordedAt = time.Time{}
	case a.recordedAt.IsZero():
		a.recordedAt = now
	}
	a.RecordListTime(requestedAt)
}

// RecordListTime records that the known records include all of a list that was requested at a time.
func (a *Apportioner) RecordListTime(requestedAt time.Time) {
	if requestedAt.After(a.listedAt) {
		a.listedAt = requestedAt
	}
}

// ListedAt returns when the newest list was requested; zero if there was none.
func (a *Apportioner) ListedAt() time.Time { return a.listedAt }

// IsSettled reports whether the own record was there for long enough that all instances with a share count this one.
func (a *Apportioner) IsSettled(now time.Time) bool {
	return a.settled || !a.recordedAt.IsZero() && now.Sub(a.recordedAt) >= SettleTime
}

// Count returns the number of instances on record, this one included.
func (a *Apportioner) Count() int {
	if a.records[a.self] {
		return len(a.records)
	}
	return len(a.records) + 1
}

// Sharers returns the number of instances among which bounds are divided; 0 if this instance has no share now.
func (a *Apportioner) Sharers(now time.Time) int {
	if a.listedAt.IsZero() || now.Sub(a.listedAt) >= ListLifetime || !a.IsSettled(now) {
		return 0
	}
	return a.Count()
}

// Share returns this instance's share of the bound on a task, such as the requests to one cold backend server.
func (a *Apportioner) Share(now time.Time, task string) Share {
	sharers := a.Sharers(now)
	if sharers == 0 {
		return Share{}
	}
	rank, ok := a.ranks[task]
	if !ok {
		rank = a.rank(task)
		if len(a.ranks) >= maxCachedRanks {
			clear(a.ranks)
		}
		a.ranks[task] = rank
	}
	return Share{Sharers: sharers, Rank: rank}
}

// rank returns how many of the instances on record rank before this one for a task, by rendezvous hashing.
func (a *Apportioner) rank(task string) int {
	ownWeight := ranker.Weight(task, string(a.self))
	before := 0
	for i := range a.records {
		if i != a.self && ranker.Weight(task, string(i)) > ownWeight {
			before++
		}
	}
	return before
}
