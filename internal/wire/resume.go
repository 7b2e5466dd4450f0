package wire

import (
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/goldcrestturn/goldcrestturn/internal/model"
)

// maxResumeValueBytes bounds the length of one value of a resume query.
const maxResumeValueBytes = 1024

// ResumeQuery returns the query for the frames of req with index from and above.
func ResumeQuery(req *model.Request, from int) url.Values {
	return url.Values{
		"request":    {string(req.ID)},
		"workspace":  {string(req.Workspace)},
		"route":      {string(req.Route)},
		"key":        {req.IdempotencyKey},
		"idempotent": {strconv.FormatBool(req.Idempotent)},
		"fp":         {strconv.FormatUint(req.Fingerprint, 16)},
		"from":       {strconv.Itoa(from)},
	}
}

// DecodeResume returns the request that a resume query refers to. It has no body
// and must not be run.
func DecodeResume(q url.Values) (*model.Request, error) {
	for name, values := range q {
		if len(values) != 1 || len(values[0]) > maxResumeValueBytes {
			return nil, eris.Errorf("wire: %q of the resume query is repeated or too long", name)
		}
	}
	idempotent, err1 := strconv.ParseBool(q.Get("idempotent"))
	fingerprint, err2 := strconv.ParseUint(q.Get("fp"), 16, 64)
	from, err3 := strconv.Atoi(q.Get("from"))
	if err1 != nil || err2 != nil || err3 != nil || from < 0 || q.Get("request") == "" {
		return nil, eris.New("wire: resume query is malformed")
	}
	return &model.Request{
		ID: model.RequestID(q.Get("request")), Workspace: model.Workspace(q.Get("workspace")),
		Route: model.Route(q.Get("route")), IdempotencyKey: q.Get("key"), Idempotent: idempotent,
		Fingerprint: fingerprint, ResumeFrom: from, Stages: &model.StageTimes{},
	}, nil
}
