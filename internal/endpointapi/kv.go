package endpointapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// maxKVBytes bounds the encoded prefix of one chat.
const maxKVBytes = 16 << 20

// ErrNoKV is returned for the export of a chat that the engine's cache does not
// hold.
var ErrNoKV = eris.New("endpointapi: the engine does not hold the chat")

// ExportKV reads the cached prefix of a chat.
func (e *Engine) ExportKV(ctx context.Context, chat string) (KV, error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+PathKV+url.PathEscape(chat), nil)
	if err != nil {
		return KV{}, eris.Wrap(err, "endpointapi: export request cannot be made")
	}
	resp, err := e.http.Do(call)
	if err != nil {
		return KV{}, eris.Wrap(err, "endpointapi: export failed")
	}
	defer resp.Body.Close()
	return DecodeKV(resp)
}

// DecodeKV decodes the response to an export.
func DecodeKV(resp *http.Response) (KV, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return KV{}, ErrNoKV
	default:
		return KV{}, eris.Errorf("endpointapi: export was answered with status %d", resp.StatusCode)
	}
	var kv KV
	err := json.NewDecoder(io.LimitReader(resp.Body, maxKVBytes)).Decode(&kv)
	return kv, eris.Wrap(err, "endpointapi: exported prefix is malformed")
}

// ReadLoad reads the engine's report of its load.
func (e *Engine) ReadLoad(ctx context.Context) (Load, error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+PathLoad, nil)
	if err != nil {
		return Load{}, eris.Wrap(err, "endpointapi: load request cannot be made")
	}
	resp, err := e.http.Do(call)
	if err != nil {
		return Load{}, eris.Wrap(err, "endpointapi: load cannot be read")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Load{}, eris.Errorf("endpointapi: load request was answered with status %d", resp.StatusCode)
	}
	var l Load
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(&l)
	return l, eris.Wrap(err, "endpointapi: load is malformed")
}

// ImportKV stores the cached prefix of a chat in the engine. Engines refuse a
// prefix of another version.
func (e *Engine) ImportKV(ctx context.Context, kv KV) error {
	return PutKV(ctx, e.http, e.base+PathKV, http.Header{}, kv)
}

// PutKV sends a prefix to the given path of an engine or a side with the given
// header.
func PutKV(ctx context.Context, client *http.Client, path string, header http.Header, kv KV) error {
	body, err := json.Marshal(kv)
	if err != nil {
		return eris.Wrap(err, "endpointapi: prefix cannot be encoded")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPut, path+url.PathEscape(kv.Chat), bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "endpointapi: import request cannot be made")
	}
	call.Header = header
	call.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(call)
	if err != nil {
		return eris.Wrap(err, "endpointapi: import failed")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("endpointapi: import was answered with status %d", resp.StatusCode)
	}
	return nil
}
