package catalogue

import "time"

// Listing collects the pages of a list. A page that failed is requested again, and the
// pages before it are kept. The zero value is ready to use.
type Listing struct {
	update Update
	next   string
}

// After returns the name after which the next page begins; empty for the first page.
func (l *Listing) After() string { return l.next }

// Add adds the page that was requested at a time, and the name after which the next one
// begins, if there is one. With the last page it returns the whole list at the oldest
// version of its pages, and starts again at the first page. It also starts again if the
// store was restored since the first page.
func (l *Listing) Add(requested time.Time, page Update, next string) (Update, bool) {
	if l.next == "" {
		l.update = Update{Source: page.Source, Full: true, Version: page.Version, AsOf: requested}
	}
	if page.Version.Epoch() != l.update.Version.Epoch() {
		l.Reset()
		return Update{}, false
	}
	l.update.Version = min(l.update.Version, page.Version)
	l.update.Records = append(l.update.Records, page.Records...)
	if l.next = next; next != "" {
		return Update{}, false
	}
	list := l.update
	l.Reset()
	return list, true
}

// Reset discards the pages.
func (l *Listing) Reset() { *l = Listing{} }
