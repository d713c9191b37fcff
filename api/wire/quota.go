package wire

// LeaseRequest asks a quota holder for tokens and settles earlier leases. One request serves all teams of the
// borrower. Field names are short because these are the most frequent control messages.
type LeaseRequest struct {
	Settlements   []Settlement   `json:"s,omitempty"`
	TokenRequests []TokenRequest `json:"w,omitempty"`
}

// Settlement ends a lease: the borrower has spent Used tokens and will spend no more of it.
type Settlement struct {
	Lease uint64 `json:"l"`
	Used  int    `json:"u"`
}

// TokenRequest asks for up to Tokens tokens of a team's rate, for at most LifeMS milliseconds.
type TokenRequest struct {
	Team       string `json:"t"`
	Tokens     int    `json:"n"`
	LifetimeMS int64  `json:"e"`
}

// LeaseResponse answers a LeaseRequest with a grant for each want, in the same order.
type LeaseResponse struct {
	Grants []Grant `json:"g,omitempty"`
}

// Grant leases tokens of the team of the want at the same place, for the life that was asked. The borrower counts it
// from before it sent the request, the holder from its answer. A grant of less than was asked says when to ask again.
type Grant struct {
	Lease  uint64 `json:"l,omitempty"`
	Tokens int    `json:"n"`
	// RetryMS is the time in milliseconds after which the holder expects to have a token.
	RetryMS int64 `json:"r,omitempty"`
}

// HandoverRequest asks the previous holder of a slot for what is left of it.
type HandoverRequest struct {
	Team string `json:"t"`
	Slot int    `json:"s"`
	// Process names the asking process; a restarted one has another name.
	Process string `json:"p"`
}

// HandoverResponse hands a slot over. Without Ended, the receiver still holds the slot, knows nothing of it or
// gave it to another process.
type HandoverResponse struct {
	HandedOver bool    `json:"ended"`
	Available  float64 `json:"available,omitempty"`
	// Outstanding is the number of leased tokens that may still be spent within ForMS milliseconds.
	Outstanding      int   `json:"outstanding,omitempty"`
	OutstandingForMS int64 `json:"for_ms,omitempty"`
}
