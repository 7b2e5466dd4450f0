package claim

import (
	"testing"

	"github.com/rotisserie/eris"
)

var errTest = eris.New("log service is down")

// Guards against a record that panics a reader, or that can no longer be decoded
// after it was decoded and encoded again, so that two readers would disagree.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"a","items":[{"kind":"epoch","id":"e","pool":"p","owner":"o","key":"00000000000000000000000000000000","claim":{"o":0,"i":0}}]}`))
	f.Add([]byte(`{"id":"a","items":[{"kind":"result","outcome":"ran","key":"0102","claim":{"o":1}}]}`))
	f.Add([]byte(`{"id":"a","items":[{"kind":"claim"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		NewFold(Limits{Keys: 1, AnswerBytes: 1}).Apply(1, 1, r)
		again, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
