package storer

import (
	"fmt"
	"net/http"

	"github.com/turmericlift/turmericlift/identifier"
)

// Era returns the highest era that an answer has stated; 0 if none did.
func (k *KindClient) Era() identifier.Era { return identifier.Era(k.era.Load()) }

// inEras reports whether the store has stated an era, so that versions have an era.
func (k *KindClient) inEras() bool { return k.era.Load() != 0 }

// record records the era of an answer and returns it. An answer without an era, or with a malformed one, is taken for one
// of the highest known era. late reports that another answer had a higher era.
func (k *KindClient) record(header http.Header) (era identifier.Era, late bool) {
	stated, ok := k.dialect.Era(header)
	for {
		highest := k.era.Load()
		switch {
		case !ok:
			return identifier.Era(highest), false
		case uint32(stated) <= highest:
			return stated, uint32(stated) < highest
		case k.era.CompareAndSwap(highest, uint32(stated)):
			return stated, false
		}
	}
}

// revisionOf returns the revision of the store that a version stands for. It returns an error if the version is of an older
// era than the store's: its revision may have been given out again. Version 0 stands for no object in any era.
func (k *KindClient) revisionOf(v identifier.Version) (identifier.Version, error) {
	era := identifier.Era(k.era.Load())
	switch {
	case era == 0 || v == 0:
		return v, nil
	case v.Era() != era:
		return 0, fmt.Errorf("version is of era %d and the store is in era %d", v.Era(), era)
	}
	return v.Revision(), nil
}

// setEra turns a revision of the store in an era into a version. It returns an error if the revision is too high for that.
func setEra(v *identifier.Version, era identifier.Era) error {
	if era == 0 {
		return nil
	}
	if *v > identifier.MaxRevision {
		return fmt.Errorf("revision %d is above %d", *v, identifier.MaxRevision)
	}
	*v = era.Version(*v)
	return nil
}

// setEra turns the revisions of a page into versions.
func (p *Page) setEra(era identifier.Era) error {
	for n := range p.Objects {
		if err := setEra(&p.Objects[n].Version, era); err != nil {
			return fmt.Errorf("object %s: %w", p.Objects[n].Name, err)
		}
	}
	return setEra(&p.Revision, era)
}

// setEra turns the revisions of events into versions.
func (e *Events) setEra(era identifier.Era) error {
	for n := range e.Events {
		if err := setEra(&e.Events[n].Object.Version, era); err != nil {
			return fmt.Errorf("object %s: %w", e.Events[n].Object.Name, err)
		}
	}
	return setEra(&e.Revision, era)
}
