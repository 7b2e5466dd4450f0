package router

import (
	"cmp"
	"context"
	"encoding/binary"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestturn/goldcrestturn/internal/control"
	"github.com/goldcrestturn/goldcrestturn/internal/mesh"
	"github.com/goldcrestturn/goldcrestturn/internal/model"
	"github.com/goldcrestturn/goldcrestturn/internal/suspect"
)

// causes returns the properties of a request that other requests may share and that can
// crash an endpoint: the request as a whole, and the prompt parts except the last one. The
// size of the head bounds them.
func (r *Request) causes() []uint64 {
	var caller model.Workspace
	if r.Workspace != nil { // rather than the key, since a workspace may have several
		caller = r.Workspace.Name
	}
	d := xxhash.New()
	_, _ = d.WriteString(string(caller) + "\x00" + r.Method + "\x00" + r.Host + "\x00" + r.Target + "\x00")
	_, _ = d.Write(r.Body)
	shared := r.Parts[:max(0, len(r.Parts)-1)]
	out := append(make([]uint64, 0, 1+len(shared)), suspect.KeyOfRequest(d.Sum64()))
	for _, p := range shared {
		out = append(out, causeOfPart(p.ID))
	}
	return out
}

// causeOfPart returns the key of a prompt part. It is hashed, so that a caller cannot
// choose a part whose key is the fingerprint of another caller's request.
func causeOfPart(part uint64) uint64 {
	return suspect.KeyOfPart(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte("part"), part)))
}

// guardEndpoints refuses requests with a property that crashes endpoints.
type guardEndpoints struct {
	snapshot   func() *Snapshot
	allowTrial func(ctx context.Context, causes []uint64) bool
}

func (guardEndpoints) Name() string { return "guard" }

func (f guardEndpoints) Handle(ctx context.Context, req *Request, next handler) (*Answer, error) {
	view := f.snapshot().causes
	if len(view) == 0 {
		return next(ctx, req)
	}
	refused := slices.DeleteFunc(req.causes(), func(key uint64) bool { return !view[key] })
	if len(refused) == 0 || f.allowTrial(ctx, refused) {
		return next(ctx, req)
	}
	causesRefused.Inc()
	return nil, unknownIfRun(req, refuseWithRetryAfter(model.ReasonSuspect, "endpoints crashed at requests with the property "+suspect.Name(refused[0]), suspectRetryAfter))
}

// suspectRetryAfter is when a caller whose request crashes endpoints may send it again.
// It is longer than any deadline, since the request would be refused before.
const suspectRetryAfter = 30 * time.Second

// allowTrial reports whether a request with refused properties may be sent. If its trial
// is due, it claims it in the store, which all routers share.
func (r *Router) allowTrial(ctx context.Context, causes []uint64) bool {
	trial, err := control.Ask(ctx, r.loop, trialAsked{Question: control.NewQuestion[trialReply](), causes: causes})
	if err != nil || !trial.due {
		return false
	}
	stored, claimed, err := r.deps.Store.ClaimTrial(ctx, trial.records, trial.era)
	if err != nil {
		r.log.Info("trial of a refused property not claimed", "property", suspect.Name(causes[0]), "properties", len(causes), "error", err.Error())
		return false
	}
	_ = r.loop.Post(ctx, suspectsRead{stored})
	if claimed {
		r.log.Info("refused property tried again", "property", suspect.Name(causes[0]), "properties", len(causes), "trial", trial.records[0].Trials)
	}
	return claimed
}

// recordCrash reports the properties of a request whose endpoint closed the connection
// before its answer was complete, and whether it accepts a new one. If not, its process has
// ended; otherwise it has lost the answer, or is back already, or cannot be reached.
func (r *Router) recordCrash(ctx context.Context, req *Request) {
	_ = r.loop.Post(context.WithoutCancel(ctx), crashSeen{certain: r.client.Refuses(ctx, req.Endpoint.Address), failure: failureOf(req)})
}

// recordAbandoned reports the properties of a request whose caller left or whose deadline
// passed while its endpoint ran it. The instance list shows later whether the endpoint has
// crashed.
func (r *Router) recordAbandoned(req *Request) {
	_ = r.loop.Post(context.Background(), crashSeen{failure: failureOf(req)})
}

// failureOf returns the attempt of a request that got no complete answer.
func failureOf(req *Request) suspect.Failure {
	process := suspect.ProcessHash(req.Endpoint.ID, req.Endpoint.Started)
	return suspect.Failure{Endpoint: req.Endpoint.ID, Started: req.Endpoint.Started, Causes: suspect.SampleCauses(req.causes(), process)}
}

// recordSound reports that an endpoint answered a request, if it has a property that was
// met at a crash, or at a failure that may turn out to be one.
func (r *Router) recordSound(req *Request) {
	snap := r.loop.Snapshot()
	if len(snap.causes)+len(snap.pending) == 0 {
		return
	}
	sound := slices.DeleteFunc(req.causes(), func(key uint64) bool { return !snap.isOpen(key) })
	if len(sound) > 0 {
		_ = r.loop.Post(context.Background(), causesSound{sound})
	}
}

// judgeCauses tracks the properties of requests that crash endpoints.
type judgeCauses struct {
	broadcast func(mesh.Message)     // must not block
	save      func([]suspect.Record) // writes to the store; must not block
	report    func(suspect.Report)   // writes to the store; must not block
	log       *slog.Logger
}

func (judgeCauses) Name() string { return "causes" }

// isOpen reports whether a property was met at a crash, or at a failure that may turn out to be
// one.
func (s *Snapshot) isOpen(key uint64) bool {
	_, met := s.causes[key]
	return met || s.pending[key]
}

// pendingViewInterval bounds how often the properties of pending failures are published.
const pendingViewInterval = 100 * time.Millisecond

// viewPending publishes the properties of pending failures if they have changed, and reports
// whether it does.
func (judgeCauses) viewPending(s *State, now time.Time) bool {
	if !s.pendingChanged || now.Sub(s.pendingViewed) < pendingViewInterval {
		return false
	}
	s.pending, s.pendingViewed, s.pendingChanged = s.failures.Keys(), now, false
	return true
}

func (f judgeCauses) Apply(s *State, now time.Time, ev control.Event) bool {
	switch e := ev.(type) {
	case crashSeen:
		e.failure.At = now
		if !e.certain {
			s.failures.Add(e.failure)
			s.pendingChanged = true
			return f.viewPending(s, now)
		}
		f.addCrash(s, now, e.failure)
		return true
	case listRead:
		crashes := s.failures.Crashes(now, s.table.HasRestarted)
		for _, failure := range crashes {
			f.addCrash(s, now, failure)
		}
		s.pendingChanged = s.pendingChanged || len(s.pending) > 0
		return f.viewPending(s, now) || len(crashes) > 0
	case eraSeen:
		if e.restored {
			f.saveAfterRestore(s, now)
		}
	case causesSound:
		return f.answered(s, now, e.causes)
	case trialAsked:
		reply := trialReply{era: s.era}
		if s.trialsPaused(now) {
			e.Reply(reply)
			return false
		}
		reply.records, reply.due = s.causes.DueTrial(now, e.causes, s.table.Rank(uint32(e.causes[0])))
		e.Reply(reply)
	case peerMessage:
		if len(e.crashes)+len(e.sound) == 0 {
			return false
		}
		for _, c := range e.crashes {
			if s.causes.Add(now, suspect.CauseCrash{Key: c.Key, Endpoint: c.Endpoint, At: now.Add(-c.Age)}) {
				crashCounters[crashOfPeer].Inc()
			}
		}
		for _, key := range e.sound {
			s.causes.Clear(key, now)
		}
		f.publishHeard(s, now)
		return true
	case crashReportsRead:
		for _, r := range e.reports {
			f.applyReport(s, now, r, e.live)
		}
		f.publishHeard(s, now)
		return true
	case suspectsRead:
		var expired []suspect.Record
		for _, r := range e.records {
			s.causes.Merge(now, r)
			if s.causes.Count(r.Key) == 0 && s.table.IsFirst(uint32(r.Key)) {
				expired = append(expired, suspect.Record{Key: r.Key})
			}
		}
		f.save(expired)
		return len(e.records) > 0 && f.publish(s, now)
	}
	return false
}

// addCrash counts a crash for each property of the request that the endpoint ran.
func (f judgeCauses) addCrash(s *State, now time.Time, failure suspect.Failure) {
	var crashes, earlier []suspect.CauseCrash
	known, isNew := 0, false
	for _, key := range failure.Causes {
		c := suspect.CauseCrash{Key: key, Endpoint: suspect.ProcessHash(failure.Endpoint, failure.Started), At: failure.At}
		if s.causes.Add(now, c) {
			crashCounters[crashOwn].Inc()
			isNew = true
			s.observed.AddCrash(c)
		}
		known = max(known, s.causes.Count(key))
		for _, other := range s.causes.Crashes(key) {
			if other.Endpoint == c.Endpoint {
				crashes = append(crashes, other)
			} else {
				earlier = append(earlier, other)
			}
		}
	}
	f.log.Info("endpoint crashed while it ran a request", "endpoint", failure.Endpoint, "properties", len(failure.Causes), "known", known,
		"ago_ms", now.Sub(failure.At).Milliseconds())
	// Peers may have missed a message on the properties with the most crashes. The reports
	// in the store have all.
	slices.SortStableFunc(earlier, func(a, b suspect.CauseCrash) int { return cmp.Compare(s.causes.Count(b.Key), s.causes.Count(a.Key)) })
	crashes = append(crashes, earlier[:min(len(earlier), mesh.MaxCrashes)]...)
	f.broadcast(mesh.Message{Crashes: agesOf(crashes, now)})
	if isNew {
		f.saveReport(s, now)
	}
	f.publish(s, now)
	f.saveRefused(s, failure.Causes)
}

// saveRefused stores the records of those properties that are refused.
func (f judgeCauses) saveRefused(s *State, keys []uint64) {
	var records []suspect.Record
	for _, key := range keys {
		if s.causeView[key] {
			records = append(records, s.causes.Record(key))
		}
	}
	f.save(records)
}

// agesOf returns crashes in the form in which they are sent to peers.
func agesOf(list []suspect.CauseCrash, now time.Time) (out []mesh.Crash) {
	for _, c := range list {
		out = append(out, mesh.Crash{Key: c.Key, Endpoint: c.Endpoint, Age: now.Sub(c.At)})
	}
	return out
}

// answered clears properties of a request that was answered, and notifies the peers and,
// through the store, the routers that do not hear this one.
func (f judgeCauses) answered(s *State, now time.Time, keys []uint64) bool {
	var sound []uint64
	tell := false
	for _, key := range keys {
		s.failures.Sound(key)
		s.pendingChanged = true
		near := s.causes.NearThreshold(key)
		if s.causes.Clear(key, now) {
			sound = append(sound, key)
			tell = s.observed.AddSound(key, now, near) || tell
		}
	}
	viewed := f.viewPending(s, now)
	if len(sound) == 0 {
		return viewed
	}
	f.broadcast(mesh.Message{Sound: sound})
	f.saveRefused(s, sound)
	if tell {
		f.saveReport(s, now)
	}
	return f.publish(s, now) || viewed
}

// applyReport applies what another router reported of crashes. live says that the report
// was read as it came; other times are those of the router's clock.
func (f judgeCauses) applyReport(s *State, now time.Time, r suspect.Report, live bool) {
	own := r.Router == s.settings.Instance
	if own && live {
		return
	}
	if live {
		r = r.Shifted(now)
	}
	for _, c := range r.Crashes {
		if c.At.After(now) {
			c.At = now
		}
		if now.Sub(c.At) >= suspect.Lifetime {
			continue
		}
		if !s.causes.Add(now, c) {
			continue
		}
		crashCounters[crashStored].Inc()
		if own { // from before the start of this process
			s.observed.AddCrash(c)
		}
	}
	for _, c := range r.Sound {
		if !c.At.After(now) {
			s.causes.Clear(c.Key, c.At)
		}
	}
	f.log.Info("crashes reported by another router", "router", r.Router, "crashes", len(r.Crashes), "sound", len(r.Sound), "age_ms", now.Sub(r.Written).Milliseconds())
}

// saveReport writes what this router saw of crashes to the store.
func (f judgeCauses) saveReport(s *State, now time.Time) {
	f.report(s.observed.Report(now, s.settings.Instance, s.causes.Count))
}

// publishHeard publishes what this router heard of others. The first router of a property
// that is refused from now on stores its record, since the one that saw the last crash may
// not have known of the others.
func (f judgeCauses) publishHeard(s *State, now time.Time) {
	before := s.causeView
	f.publish(s, now)
	var records []suspect.Record
	for _, key := range refusedOnlyIn(s.causeView, before) {
		if s.table.IsFirst(uint32(key)) {
			records = append(records, s.causes.Record(key))
		}
	}
	f.save(records)
}

// maxPropertiesLogged bounds the lines about properties that change together. A long prompt
// whose parts no sound request shares has thousands.
const maxPropertiesLogged = 16

// publish updates the view of the table and logs what it refuses from now on.
func (f judgeCauses) publish(s *State, now time.Time) bool {
	s.causes.Sweep(now)
	view := s.causes.View()
	refused := refusedOnlyIn(view, s.causeView)
	for _, key := range refused[:min(len(refused), maxPropertiesLogged)] {
		f.log.Warn("property of requests crashes endpoints", "property", suspect.Name(key), "crashes", s.causes.Count(key), "together", len(refused))
	}
	sound := refusedOnlyIn(s.causeView, view)
	for _, key := range sound[:min(len(sound), maxPropertiesLogged)] {
		f.log.Info("property of requests is sound again", "property", suspect.Name(key), "together", len(sound))
	}
	s.causeView = view
	return true
}

// refusedOnlyIn returns the properties that are refused in view and not in other.
func refusedOnlyIn(view, other suspect.CauseView) (out []uint64) {
	for key, refused := range view {
		if refused && !other[key] {
			out = append(out, key)
		}
	}
	return out
}
