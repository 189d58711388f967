package journaler

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// uuidTime returns the time at which a request ID was generated, if the ID is a UUID of
// version 7 (RFC 9562, 5.7): the first 48 bits of such a UUID are the time in ms since
// 1970. It returns false for any other ID.
func uuidTime(id identifier.RequestID) (time.Time, bool) {
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
