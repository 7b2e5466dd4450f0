package model

import (
	"sync/atomic"
	"time"
)

// Stage is one part of the time that a request spends in the fleet.
type Stage int

// The stages in the order in which a request passes them.
const (
	StageQueue      Stage = iota // waiting at the side for admission
	StageChoose                  // selecting an endpoint, refused attempts included
	StageAdmit                   // claim and admission at the side, without the queue
	StageFirstToken              // from admission to the first token or body
	StageStream                  // from the first token to the end
	StageCount                   // number of stages
)

var stageNames = [StageCount]string{"queue", "choose", "admit", "first_token", "stream"}

// String returns the name of the stage in metrics and headers.
func (s Stage) String() string { return stageNames[s] }

// StageTimes collects the time that one request spends in each stage. It is safe
// for concurrent use. All methods accept a nil receiver.
type StageTimes struct {
	nanos [StageCount]atomic.Int64
}

// Add adds d to the time of stage s.
func (t *StageTimes) Add(s Stage, d time.Duration) {
	if t != nil {
		t.nanos[s].Add(int64(d))
	}
}

// Get returns the time spent in stage s.
func (t *StageTimes) Get(s Stage) time.Duration {
	if t == nil {
		return 0
	}
	return time.Duration(t.nanos[s].Load())
}
