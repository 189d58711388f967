package journaler

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// mintedAt returns when a request ID was made, if it is a UUID of version 7
// (RFC 9562, 5.7), whose first 48 bits are the time in ms since 1970.
func mintedAt(id identifier.RequestID) (time.Time, bool) {
	const length, versionAt, version = 36, 14, '7'
	if len(id) != length || id[versionAt] != version {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(string(id), "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}
