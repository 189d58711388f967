package rationer

import (
	"errors"
	"fmt"
	"io"
)

// ErrExhausted says that the bytes of a body or message are not within the bound at present.
var ErrExhausted = errors.New("the requests of the instance hold all the memory that they may use")

// firstBytes is the size of the first buffer for data of unknown length.
const firstBytes = 4 << 10

// ReadAll reads data to its end into memory that is counted in the holding. length is the expected length of the data, or -1
// if it is unknown. It returns an error that wraps ErrExhausted as soon as the data do not fit the bound, which is before any of them
// are read if their length is known, and ErrRevoked if the holding is revoked. The holding keeps the bytes until it is closed.
func (h *Holding) ReadAll(r io.Reader, length int64) ([]byte, error) {
	data, err := h.readAll(r, length)
	if revoked := h.endReading(); revoked != nil {
		return nil, revoked
	}
	return data, err
}

// readAll is ReadAll without the end of the reading.
func (h *Holding) readAll(r io.Reader, length int64) ([]byte, error) {
	size := length
	if length < 0 {
		size = firstBytes
	}
	if err := h.reserve(size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	var next [1]byte
	for {
		if err := h.recordProgress(); err != nil {
			return nil, err
		}
		into := data[len(data):cap(data)]
		if len(into) == 0 {
			into = next[:] // Finds the end without room for more.
		}
		n, err := r.Read(into)
		if n > 0 && len(data) == cap(data) {
			var growErr error
			if data, growErr = h.grow(data); growErr != nil {
				return nil, growErr
			}
			data = append(data, next[0])
		} else {
			data = data[:len(data)+n]
		}
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of data with twice the capacity. Both are held while one is copied.
func (h *Holding) grow(data []byte) ([]byte, error) {
	size := max(2*int64(cap(data)), firstBytes)
	if err := h.reserve(size + int64(cap(data))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	h.Resize(size)
	return grown, nil
}

// exhausted returns the error for a number of bytes that are not within the bound.
func (h *Holding) exhausted(bytes int64) error {
	return fmt.Errorf("%w: %d bytes wanted, %d of %d held", ErrExhausted, bytes, h.rationer.Held(), h.rationer.limit)
}
