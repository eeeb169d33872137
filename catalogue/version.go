package catalogue

// Version is a revision of the platform's store. It increases with each change.
type Version uint64

// Epoch counts the restorations of the platform's store from an older copy. Revisions of
// different epochs are unrelated: a restored store assigns the revisions after the copy
// again.
type Epoch uint64
