package objstore

// eraShift is the position of the era in a Version or Revision. A store that is restored from an
// older snapshot of itself assigns revisions again that it has used before. A store that counts its
// restorations has an era, which is kept in the bits above the store's own number, so that every
// comparison of versions or revisions, in any process, orders them by era first. For a store
// without eras, a Version or Revision is just the store's number.
const eraShift = 44

// maxEra is the highest era that fits into a Version.
const maxEra = 1<<(63-eraShift) - 1

// tokenShift leaves room for 4 billion fencing tokens in an era, while tokens of the first two
// million eras are still exact as JSON numbers.
const tokenShift = 32

// ValidEra reports whether an era fits into a Version.
func ValidEra(era int64) bool { return era >= 0 && era <= maxEra }

// ValidNumber reports whether a number that the store assigned fits into a Version beside the era.
func ValidNumber(number int64) bool { return number >= 0 && number < 1<<eraShift }

// InEra combines an era and a number that the store assigned in that era. The results are ordered
// across eras.
func InEra(era, number int64) int64 { return era<<eraShift | number }

// Era returns the era of the store in which the version was assigned.
func (v Version) Era() int64 { return int64(v) >> eraShift }

// Number returns the store's own number of the version, without the era.
func (v Version) Number() int64 { return int64(v) & (1<<eraShift - 1) }

// Era returns the era of the store in which the revision was assigned.
func (r Revision) Era() int64 { return int64(r) >> eraShift }

// Number returns the store's own number of the revision, without the era.
func (r Revision) Number() int64 { return int64(r) & (1<<eraShift - 1) }

// EraCounter is a store that counts how often it was restored from an older snapshot.
type EraCounter interface {
	// Era returns the era that the store's responses have named so far, or 0 if they named none.
	Era() int64
}

// EraOf returns the era of a store, or 0 if the store does not count eras.
func EraOf(s Store) int64 {
	if c, ok := s.(EraCounter); ok {
		return c.Era()
	}
	return 0
}

// TokenBase returns a number that is at least as high as all fencing tokens of earlier eras. A
// restored store may not contain the highest tokens that were granted before the restoration, so
// new tokens must start above this number.
func TokenBase(era int64) int64 { return era << tokenShift }
