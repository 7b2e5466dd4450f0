package logsvc

// Record is one record of a stream.
type Record struct {
	Offset     int64  `json:"offset"`
	AppendedMS int64  `json:"appended_ms"` // append time by the service's clock, Unix time in milliseconds
	Data       []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	First   int64    `json:"first"` // offset of the oldest retained record
	Next    int64    `json:"next"`  // offset after the last record in Records, or the end if there is none
	Records []Record `json:"records"`
}

// Appended is the answer to an append.
type Appended struct {
	Offset int64 `json:"offset"`
}

// MaxRecordBytes bounds the size of one record's data.
const MaxRecordBytes = 1 << 20
