package wire

// LeaseRequest asks a quota holder for tokens and ends earlier leases. One request covers all teams of the borrower.
// Its JSON field names are short because these messages are the most frequent ones on the control port.
type LeaseRequest struct {
	Settlements   []Settlement   `json:"s,omitempty"`
	TokenRequests []TokenRequest `json:"w,omitempty"`
}

// Settlement ends a lease. The borrower has spent Used tokens of it and returns the rest.
type Settlement struct {
	Lease uint64 `json:"l"`
	Used  int    `json:"u"`
}

// TokenRequest asks for up to Tokens tokens of a team's rate, which expire after LeaseDurationMS milliseconds.
type TokenRequest struct {
	Team            string `json:"t"`
	Tokens          int    `json:"n"`
	LeaseDurationMS int64  `json:"e"`
}

// LeaseResponse answers a LeaseRequest with one grant for each TokenRequest, in the same order.
type LeaseResponse struct {
	Grants []Grant `json:"g,omitempty"`
}

// Grant leases tokens for the TokenRequest at the same index, for its lease duration. The borrower counts the duration
// from before it sent the request, the holder from its response, so the lease ends first at the borrower. A grant of
// fewer tokens than requested states when to ask again.
type Grant struct {
	Lease  uint64 `json:"l,omitempty"`
	Tokens int    `json:"n"`
	// RetryMS is the time in milliseconds after which the holder expects to have a token.
	RetryMS int64 `json:"r,omitempty"`
}

// HandoverRequest asks the previous holder of a slot of a team's quota to hand it over with its remaining tokens.
type HandoverRequest struct {
	Team string `json:"t"`
	Slot int    `json:"s"`
	// Process identifies the requesting process. It changes when the process restarts.
	Process string `json:"p"`
}

// HandoverResponse answers a HandoverRequest. HandedOver is false when the node still holds the slot, does not know it
// or has handed it over to another process.
type HandoverResponse struct {
	HandedOver bool    `json:"ended"`
	Available  float64 `json:"available,omitempty"`
	// Outstanding is the number of leased tokens that may still be spent, within the next OutstandingForMS
	// milliseconds.
	Outstanding      int   `json:"outstanding,omitempty"`
	OutstandingForMS int64 `json:"for_ms,omitempty"`
}
