package receiver

import (
	"fmt"
	"net/url"
)

// unescapeSegment decodes the percent encoding of one path segment. The error names the segment.
func unescapeSegment(segment string) (string, error) {
	s, err := url.PathUnescape(segment)
	if err != nil {
		return "", fmt.Errorf("Key %q is not a valid path segment: %w", truncate(segment), err)
	}
	return s, nil
}
