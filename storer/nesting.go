package storer

// maxNesting is the number of levels to which the content of an object may be nested. Nothing that the platform or this
// program writes comes near it.
const maxNesting = 64

// DropNested returns a JSON text in which each value that is nested too deeply is replaced by null. What is replaced is the
// whole value that starts at the given level, where the text itself has level 1: the content of one object among others.
// encoding/json rejects a whole text if one value in it is nested too deeply, so one such object would hide all others. A text
// without such a value is returned as it is, and so is one that is no JSON.
func DropNested(text []byte, level int) []byte {
	var kept []byte // The output so far, once a value was dropped.
	copied := 0     // The number of bytes of text that kept stands for.
	start := 0      // Where the present value at the level starts.
	depth, dropping, inString, escaped := 0, false, false, false
	for n, b := range text {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			depth++
			if depth == level {
				start = n
			}
			dropping = dropping || depth > level+maxNesting
		case b == '}' || b == ']':
			if depth == level && dropping {
				kept = append(append(kept, text[copied:start]...), "null"...)
				copied, dropping = n+1, false
			}
			depth--
		}
	}
	if kept == nil {
		return text
	}
	return append(kept, text[copied:]...)
}
