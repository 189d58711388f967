package forwarder

import (
	"github.com/cespare/xxhash/v2"

	"github.com/turmericlift/turmericlift/estimator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/scheduler"
)

// urgent reports whether a request may use the reserved part of the bound on retries: it is a retry, and another
// refusal would make it fail for good, or it is not idempotent, and so worth more than most requests.
func (req *activeRequest) urgent() bool { return req.isRetry || !req.route.Idempotent }

// pending returns the request as the scheduler gets it.
func (req *activeRequest) pending() *scheduler.PendingRequest {
	return &scheduler.PendingRequest{
		Service: req.service, Keyed: req.keyed, Key: req.key, Priority: req.priority(), IsRetry: req.isRetry,
		Retryable: req.route.Idempotent && req.sends+1 < req.route.MaxAttempts, Arrived: req.arrived, TargetTime: req.arrived.Add(req.route.TargetLatency), Deadline: req.deadline,
		RunsOnce: !req.route.Idempotent, Class: req.class(), Tried: req.tried(), Decided: make(chan scheduler.Decision, 1),
	}
}

// class returns what the request's work is estimated from.
func (req *activeRequest) class() estimator.Class {
	c := estimator.Class{Service: req.service, Route: req.route.Name, Method: req.method, BodySize: len(req.body)}
	if req.keyed {
		c.Item = uint64(req.key) + 1
	} else {
		c.Item = xxhash.Sum64String(req.target)
	}
	return c
}

// tried returns the servers to which the request must not be sent again. It is nil for a request for a key, which only
// the key's owner can run.
func (req *activeRequest) tried() map[identifier.BackendServer]bool {
	if req.keyed {
		return nil
	}
	return req.sent
}
