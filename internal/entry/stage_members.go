package entry

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
)

// foldMembers merges the sources of membership.
type foldMembers struct{}

func (foldMembers) Name() string { return "fold_members" }

func (foldMembers) Apply(s *State, _ time.Time, ev control.Event) bool {
	list, ok := ev.(listChanged)
	if !ok {
		return false
	}
	s.Members.ApplyList(list.changes)
	s.derived = false
	return true
}
