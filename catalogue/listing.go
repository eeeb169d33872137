package catalogue

import "time"

// Listing collects the pages of a list. A page that fails is asked for again, and
// the ones before it are kept. The zero value is at the first page.
type Listing struct {
	answer Answer
	next   string
}

// After returns the name after which the next page begins; empty for the first.
func (l *Listing) After() string { return l.next }

// Add takes in the page that was asked for at a time, and the name after which the
// next one begins, if there is one. With the last page it returns the whole list,
// as of the oldest one, and is at the first page again.
func (l *Listing) Add(asked time.Time, page Answer, next string) (Answer, bool) {
	if l.next == "" {
		l.answer = Answer{Source: page.Source, Whole: true, Version: page.Version, Asked: asked}
	}
	l.answer.Version = min(l.answer.Version, page.Version)
	l.answer.Records = append(l.answer.Records, page.Records...)
	if l.next = next; next != "" {
		return Answer{}, false
	}
	whole := l.answer
	l.Reset()
	return whole, true
}

// Reset drops the pages.
func (l *Listing) Reset() { *l = Listing{} }
