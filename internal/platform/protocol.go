// Package platform has the messages that the platform's table service, object
// store and VM list exchange with their clients.
package platform

import "encoding/json"

// Paths of the platform's HTTP interface.
const (
	PathTransact = "/table/transact"
	PathRead     = "/table/read"
	PathScan     = "/table/scan"
	PathObjects  = "/objects/"
	PathVMs      = "/vms"
	PathWeights  = "/weights/"
)

// Condition requires a row to have a version. Version 0 means that the row
// doesn't exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is a set of writes that takes effect as a whole, if every
// condition holds, or not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// TransactReply tells whether a transaction took effect. All rows it wrote
// have the version Version.
type TransactReply struct {
	Committed bool     `json:"committed"`
	Version   uint64   `json:"version,omitempty"`
	Conflicts []string `json:"conflicts,omitempty"`
}

// Row is one row as read. Version 0 means that the row doesn't exist.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for rows by prefix, in the order of their keys, after a key.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// Rows answers a read or a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// VMKind tells what runs on a VM.
type VMKind string

// The kinds of VM on the platform's list.
const (
	VMEntry    VMKind = "entry"
	VMUpstream VMKind = "upstream"
)

// VM is one line of the platform's list of VMs.
type VM struct {
	ID      string `json:"id"`
	Kind    VMKind `json:"kind"`
	Pool    string `json:"pool,omitempty"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Peer is the address at which an entry VM takes its peers' connections.
	Peer    string `json:"peer,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// VMList answers a request for the list.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Faults switches faults of the platform stand-in on and off.
type Faults struct {
	// Outage refuses every request.
	Outage bool `json:"outage"`
	// DelayMilliseconds is added to every answer.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// LostAnswerPercent of the transactions take effect and drop the connection.
	LostAnswerPercent int `json:"lostAnswerPercent"`
	// ListLagMilliseconds is how late the VM list shows a change.
	ListLagMilliseconds int `json:"listLagMilliseconds"`
	// WritesPerSecond and ReadsPerSecond bound the table; 0 means no bound.
	WritesPerSecond int `json:"writesPerSecond"`
	ReadsPerSecond  int `json:"readsPerSecond"`
}

// Counts are the requests that the platform stand-in has carried out.
type Counts struct {
	Writes    uint64 `json:"writes"`
	Reads     uint64 `json:"reads"`
	Limited   uint64 `json:"limited"`
	BytesIn   uint64 `json:"bytesIn"`
	BytesOut  uint64 `json:"bytesOut"`
	ObjectPut uint64 `json:"objectPut"`
	ObjectGet uint64 `json:"objectGet"`
}
