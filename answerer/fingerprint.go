package answerer

import "github.com/cespare/xxhash/v2"

// Fingerprint is a hash of a request's service, key, method, path and body. Requests with the same
// Fingerprint count as the same.
type Fingerprint uint64

// Fingerprint returns the fingerprint of the request. It reads the whole body.
func (r Request) Fingerprint() Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, field := range []string{r.Service.String(), string(r.Key), r.Method, r.Path} {
		_, _ = d.WriteString(field) // A hash's Write never fails.
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}
