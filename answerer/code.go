package answerer

import (
	"fmt"
	"net/http"
	"strings"
)

// Code is a numbered result code. Codes are stable: a number that is no longer used does not get another
// meaning.
type Code int

// The result codes. docs/CODES.md is generated from codeInfos.
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
	CodeUnknownAPIKey      Code = 1010
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
	CodeMemoryFull         Code = 3010
	CodeStopping           Code = 3011
	CodeOverQuota          Code = 3012
	CodeQuotaUnknown       Code = 3013
	CodeStaleKeys          Code = 3014
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

// CodeInfo is a row of the table of result codes.
type CodeInfo struct {
	Code        Code
	Name        string
	Status      int // The HTTP status that the caller gets.
	Description string
}

// codeInfos is the table of result codes, in the order of docs/CODES.md.
var codeInfos = []CodeInfo{
	{CodeOK, "OK", http.StatusOK, "The backend server answered; its status is passed on."},
	{CodeBadRequest, "BadRequest", http.StatusBadRequest, "The request line, path or a header cannot be read."},
	{CodeUnknownService, "UnknownService", http.StatusNotFound, "The settings do not have the organisation or service."},
	{CodeBadKey, "BadKey", http.StatusBadRequest, "The key is empty, too long or has control characters, or a keyed service was called without one."},
	{CodeBadRequestID, "BadRequestID", http.StatusBadRequest, "The Idempotency-Key is too long or has control characters."},
	{CodeBodyTooLarge, "BodyTooLarge", http.StatusRequestEntityTooLarge, "The request body is larger than the limit."},
	{CodeBadDeadline, "BadDeadline", http.StatusBadRequest, "Turmericlift-Timeout-Ms is not a number from 1 to the limit."},
	{CodeNeedsRequestID, "NeedsRequestID", http.StatusBadRequest, "A request that is not idempotent came without Idempotency-Key."},
	{CodeRequestIDReused, "RequestIDReused", http.StatusUnprocessableEntity, "The Idempotency-Key was used before for a different request."},
	{CodeUnauthorized, "Unauthorized", http.StatusUnauthorized, "The operators' token is missing or wrong."},
	{CodeUnknownAPIKey, "UnknownAPIKey", http.StatusUnauthorized, "The route needs an API key, and the request has none or one that no tenant has."},
	{CodeNoOwner, "NoOwner", http.StatusServiceUnavailable, "The key's partition has no owner yet."},
	{CodeNotCoordinator, "NotCoordinator", http.StatusServiceUnavailable, "The instance that received the request does not coordinate the backend server."},
	{CodeNotOwner, "NotOwner", http.StatusServiceUnavailable, "The backend server no longer owns the key's partition."},
	{CodeMoving, "Moving", http.StatusServiceUnavailable, "The key's partition is moving to another backend server."},
	{CodeFenced, "Fenced", http.StatusServiceUnavailable, "The backend server refused the epoch or term, or lost the key while the request ran."},
	{CodeNoBackendServer, "NoBackendServer", http.StatusServiceUnavailable, "The service has no backend server that can run the request."},
	{CodeNoCoordinator, "NoCoordinator", http.StatusServiceUnavailable, "No live instance coordinates the backend server."},
	{CodeQueueFull, "QueueFull", http.StatusTooManyRequests, "The backend server's queue is full."},
	{CodeExpired, "Expired", http.StatusGatewayTimeout, "The deadline passed before the request was sent."},
	{CodeShed, "Shed", http.StatusTooManyRequests, "The backend server refused the request because of its load, before it ran."},
	{CodeQuarantined, "Quarantined", http.StatusUnprocessableEntity, "Requests with the same service, key, method, path and body have crashed backend servers."},
	{CodeNotRecorded, "NotRecorded", http.StatusServiceUnavailable, "The platform does not answer, so a request that is not idempotent cannot be recorded and does not run."},
	{CodeJournalFull, "JournalFull", http.StatusServiceUnavailable, "The journal has no space for another request that is not idempotent."},
	{CodeStopping, "Stopping", http.StatusServiceUnavailable, "The instance stops before the request could be answered, and has not sent it."},
	{CodeMemoryFull, "MemoryFull", http.StatusServiceUnavailable, "The requests of the instance hold all the memory that they may use."},
	{CodeOverQuota, "OverQuota", http.StatusTooManyRequests, "The tenant's quota is used up."},
	{CodeQuotaUnknown, "QuotaUnknown", http.StatusServiceUnavailable, "The instance has no part of the tenant's quota, since it does not know how much others use."},
	{CodeStaleKeys, "StaleKeys", http.StatusServiceUnavailable, "The instance cannot know whether the API key is still valid, since it has not heard of the configuration for too long."},
	{CodeRequestIDTooOld, "RequestIDTooOld", http.StatusConflict, "The Idempotency-Key is older than the time for which outcomes are kept."},
	{CodeBackendUnreachable, "BackendUnreachable", http.StatusServiceUnavailable, "No connection to the backend server could be made."},
	{CodeBackendBroke, "BackendBroke", http.StatusBadGateway, "The connection to the backend server broke after the request was sent."},
	{CodePeerUnreachable, "PeerUnreachable", http.StatusServiceUnavailable, "The coordinator could not be reached."},
	{CodePeerBroke, "PeerBroke", http.StatusBadGateway, "The connection to the coordinator broke after the request was sent."},
	{CodeCancelled, "Cancelled", 499, "The caller cancelled the request."},
	{CodeAnswerTooLarge, "AnswerTooLarge", http.StatusBadGateway, "The backend server's answer is larger than the limit."},
	{CodeTimedOut, "TimedOut", http.StatusGatewayTimeout, "The deadline passed while the request ran."},
	{CodeInDoubt, "InDoubt", http.StatusConflict, "A request with this Idempotency-Key may have run before; it is not run again."},
	{CodeBadPeerMessage, "BadPeerMessage", http.StatusBadGateway, "A message from another instance does not decode; it was dropped."},
	{CodePlatformDown, "PlatformDown", http.StatusServiceUnavailable, "The platform does not answer."},
}

// byCode has the rows of codeInfos by their code.
var byCode = func() map[Code]CodeInfo {
	m := make(map[Code]CodeInfo, len(codeInfos))
	for _, row := range codeInfos {
		m[row.Code] = row
	}
	return m
}()

// String returns the number and the name of the code, with a space between them.
func (c Code) String() string {
	return fmt.Sprintf("%d %s", int(c), c.Name())
}

// Name returns the name of the code, or an empty string for an unknown code.
func (c Code) Name() string { return byCode[c].Name }

// Status returns the HTTP status that a caller gets with the code, or 500 for an unknown code.
func (c Code) Status() int {
	if row, ok := byCode[c]; ok {
		return row.Status
	}
	return http.StatusInternalServerError
}

// CodeTable returns the table of result codes in Markdown, for docs/CODES.md.
func CodeTable() string {
	var b strings.Builder
	b.WriteString("| Code | Name | HTTP status | Meaning |\n|---|---|---|---|\n")
	for _, row := range codeInfos {
		fmt.Fprintf(&b, "| %d | %s | %d | %s |\n", row.Code, row.Name, row.Status, row.Description)
	}
	return b.String()
}
