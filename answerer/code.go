package answerer

import (
	"fmt"
	"net/http"
	"strings"
)

// Code is a numbered result code. Codes are stable: a number is never used again
// for another meaning.
type Code int

// The result codes. docs/CODES.md is generated from the table below.
const (
	CodeOK                 Code = 0
	CodeBadRequest         Code = 1001
	CodeUnknownService     Code = 1002
	CodeBadKey             Code = 1003
	CodeBadRequestID       Code = 1004
	CodeBodyTooLarge       Code = 1005
	CodeBadDeadline        Code = 1006
	CodeNeedsRequestID     Code = 1007
	CodeRequestIDReused    Code = 1008
	CodeUnauthorized       Code = 1009
	CodeNoOwner            Code = 2001
	CodeNotCoordinator     Code = 2002
	CodeNotOwner           Code = 2003
	CodeMoving             Code = 2004
	CodeFenced             Code = 2005
	CodeNoBackendServer    Code = 2006
	CodeNoCoordinator      Code = 2007
	CodeQueueFull          Code = 3001
	CodeExpired            Code = 3002
	CodeShed               Code = 3003
	CodeQuarantined        Code = 3005
	CodeNotRecorded        Code = 3007
	CodeJournalFull        Code = 3008
	CodeRequestIDTooOld    Code = 3009
	CodeInDoubt            Code = 4008
	CodeBackendUnreachable Code = 4001
	CodeBackendBroke       Code = 4002
	CodePeerUnreachable    Code = 4003
	CodePeerBroke          Code = 4004
	CodeCancelled          Code = 4005
	CodeAnswerTooLarge     Code = 4006
	CodeTimedOut           Code = 4007
	CodeBadPeerMessage     Code = 5001
	CodePlatformDown       Code = 5003
)

// Meaning is one row of the table of result codes.
type Meaning struct {
	Code   Code
	Name   string
	Status int // HTTP status towards the caller.
	Help   string
}

var meanings = []Meaning{
	{CodeOK, "OK", http.StatusOK, "The backend server answered; its status is passed on."},
	{CodeBadRequest, "BadRequest", http.StatusBadRequest, "The request line, path or a header cannot be read."},
	{CodeUnknownService, "UnknownService", http.StatusNotFound, "No such organisation or service is in the settings."},
	{CodeBadKey, "BadKey", http.StatusBadRequest, "The key is empty, too long or has control characters, or a keyed service was called without one."},
	{CodeBadRequestID, "BadRequestID", http.StatusBadRequest, "The Idempotency-Key is too long or has control characters."},
	{CodeBodyTooLarge, "BodyTooLarge", http.StatusRequestEntityTooLarge, "The request body is over the limit."},
	{CodeBadDeadline, "BadDeadline", http.StatusBadRequest, "Turmericlift-Timeout-Ms is not a number from 1 to the limit."},
	{CodeNeedsRequestID, "NeedsRequestID", http.StatusBadRequest, "A request that may not be repeated came without Idempotency-Key."},
	{CodeRequestIDReused, "RequestIDReused", http.StatusUnprocessableEntity, "The Idempotency-Key was used before for another request."},
	{CodeUnauthorized, "Unauthorized", http.StatusUnauthorized, "The operators' token is missing or wrong."},
	{CodeNoOwner, "NoOwner", http.StatusServiceUnavailable, "The key's partition has no owner yet."},
	{CodeNotCoordinator, "NotCoordinator", http.StatusServiceUnavailable, "The instance asked does not coordinate the backend server."},
	{CodeNotOwner, "NotOwner", http.StatusServiceUnavailable, "The backend server does not own the key's partition any more."},
	{CodeMoving, "Moving", http.StatusServiceUnavailable, "The key's partition is moving to another backend server."},
	{CodeFenced, "Fenced", http.StatusServiceUnavailable, "The backend server refused the epoch or term."},
	{CodeNoBackendServer, "NoBackendServer", http.StatusServiceUnavailable, "No backend server of the service can take work."},
	{CodeNoCoordinator, "NoCoordinator", http.StatusServiceUnavailable, "No live instance coordinates the backend server."},
	{CodeQueueFull, "QueueFull", http.StatusTooManyRequests, "The backend server's queue is full."},
	{CodeExpired, "Expired", http.StatusGatewayTimeout, "The deadline passed before the request was sent."},
	{CodeShed, "Shed", http.StatusTooManyRequests, "The backend server shed the request before running it."},
	{CodeQuarantined, "Quarantined", http.StatusUnprocessableEntity, "Requests like this one have crashed backend servers."},
	{CodeNotRecorded, "NotRecorded", http.StatusServiceUnavailable, "The platform does not answer, so a request that may not be repeated cannot be recorded."},
	{CodeJournalFull, "JournalFull", http.StatusServiceUnavailable, "The journal has no room for a request that may not be repeated."},
	{CodeRequestIDTooOld, "RequestIDTooOld", http.StatusConflict, "The Idempotency-Key is older than outcomes are kept."},
	{CodeBackendUnreachable, "BackendUnreachable", http.StatusServiceUnavailable, "No connection to the backend server could be made."},
	{CodeBackendBroke, "BackendBroke", http.StatusBadGateway, "The connection broke after the request was sent."},
	{CodePeerUnreachable, "PeerUnreachable", http.StatusServiceUnavailable, "The coordinator could not be reached."},
	{CodePeerBroke, "PeerBroke", http.StatusBadGateway, "The connection to the coordinator broke after the request was sent."},
	{CodeCancelled, "Cancelled", 499, "The caller went away."},
	{CodeAnswerTooLarge, "AnswerTooLarge", http.StatusBadGateway, "The backend server's answer is over the limit."},
	{CodeTimedOut, "TimedOut", http.StatusGatewayTimeout, "The deadline passed while the request ran."},
	{CodeInDoubt, "InDoubt", http.StatusConflict, "A request with this Idempotency-Key may have run before; it is not run again."},
	{CodeBadPeerMessage, "BadPeerMessage", http.StatusBadGateway, "A message of another instance does not decode; it was dropped."},
	{CodePlatformDown, "PlatformDown", http.StatusServiceUnavailable, "The platform does not answer."},
}

var byCode = func() map[Code]Meaning {
	m := make(map[Code]Meaning, len(meanings))
	for _, row := range meanings {
		m[row.Code] = row
	}
	return m
}()

// String returns the number and the name of the code.
func (c Code) String() string {
	return fmt.Sprintf("%d %s", int(c), c.Name())
}

// Name returns the name of the code.
func (c Code) Name() string { return byCode[c].Name }

// Status returns the HTTP status that a caller sees with the code.
func (c Code) Status() int {
	if row, ok := byCode[c]; ok {
		return row.Status
	}
	return http.StatusInternalServerError
}

// Table returns the table of result codes as a Markdown table.
func Table() string {
	var b strings.Builder
	b.WriteString("| Code | Name | HTTP status | Meaning |\n|---|---|---|---|\n")
	for _, row := range meanings {
		fmt.Fprintf(&b, "| %d | %s | %d | %s |\n", row.Code, row.Name, row.Status, row.Help)
	}
	return b.String()
}
