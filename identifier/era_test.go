package identifier_test

import (
	"math"
	"testing"

	"github.com/turmericlift/turmericlift/identifier"
)

// TestEra guards against versions and epochs of a later era that are not above all of the earlier ones, against versions
// that lose the store's revision, and against odd headers that are taken for an era.
func TestEra(t *testing.T) {
	t.Parallel()
	for _, e := range []identifier.Era{1, 7, identifier.MaxEra} {
		v := e.Version(12345)
		if v.Era() != e || v.Revision() != 12345 {
			t.Errorf("version %d has era %d and revision %d, want %d and 12345", v, v.Era(), v.Revision(), e)
		}
		if before := (e - 1).Version(identifier.MaxRevision); before >= e.FirstVersion() {
			t.Errorf("last version %d of era %d is not below the first one %d of the next", before, e-1, e.FirstVersion())
		}
		if before := (e - 1).FirstEpoch() + math.MaxUint32; before >= e.FirstEpoch() {
			t.Errorf("last epoch %d of era %d is not below the first one %d of the next", before, e-1, e.FirstEpoch())
		}
	}
	if last := identifier.MaxEra.FirstEpoch() + math.MaxUint32; last >= 1<<53 {
		t.Errorf("last epoch %d is not exact as a floating-point number", last)
	}
	if v := identifier.Era(0).Version(77); v != 77 {
		t.Errorf("version of revision 77 in era 0 is %d", v)
	}
	for _, text := range []string{"", "0", "-1", "+1", "1.0", "x", "1048576", "99999999999999999999", " 1", "1, 2"} {
		if e, ok := identifier.ParseEra(text); ok {
			t.Errorf("header %q is taken for era %d", text, e)
		}
	}
	if e, ok := identifier.ParseEra("12"); !ok || e != 12 {
		t.Errorf("header 12 is taken for era %d, %t", e, ok)
	}
}
