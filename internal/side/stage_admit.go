package side

import (
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/lists"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// decideAdmission counts the running work exactly and admits or refuses.
type decideAdmission struct{ settings Settings }

func (decideAdmission) Name() string { return "decide_admission" }

func (st decideAdmission) Apply(s *State, _ time.Time, ev control.Event) bool {
	switch ev := ev.(type) {
	case admitRequest:
		refusal := st.refusal(s)
		if refusal == nil {
			s.Running[ev.req.ID] = ev.req.Cost
			s.Load += ev.req.Cost.Units()
		}
		ev.Reply(refusal)
		return refusal == nil
	case workDone:
		s.Load -= s.Running[ev.id].Units()
		delete(s.Running, ev.id)
		return true
	}
	return false
}

func (st decideAdmission) refusal(s *State) *model.Refusal {
	if s.Config.Lists.DataCentres[st.settings.DataCentre].State == lists.Out {
		return model.Refuse(model.ReasonDataCentreOut, "the data centre takes no new work")
	}
	if slots := s.Config.Lists.Pools[st.settings.Pool].Slots; slots > 0 && len(s.Running) >= slots {
		return model.Refuse(model.ReasonOverloaded, "all slots are in use")
	}
	return nil
}
