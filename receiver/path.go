package receiver

import (
	"fmt"
	"net/url"
)

// unescape decodes one segment of a path.
func unescape(segment string) (string, error) {
	s, err := url.PathUnescape(segment)
	if err != nil {
		return "", fmt.Errorf("Key %q is not a path segment: %w", shorten(segment), err)
	}
	return s, nil
}
