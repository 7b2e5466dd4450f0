package entry

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a chat whose messages are counted otherwise than a decoder of them finds
// them.
func TestMessageSizesAreThoseOfTheMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		messages := rapid.SliceOf(rapid.Custom(func(t *rapid.T) chatMessage {
			return chatMessage{Role: rapid.String().Draw(t, "role"), Content: rapid.String().Draw(t, "content")}
		})).Draw(t, "messages")
		text, err := json.Marshal(messages)
		is.NoErr(err)
		var decoded []chatMessage // with invalid text replaced
		is.NoErr(json.Unmarshal(text, &decoded))
		want := messageSizes{}
		for _, m := range decoded {
			want.count++
			want.contents += int64(len(m.Content))
		}
		var got messageSizes
		is.NoErr(json.Unmarshal(text, &got))
		is.Equal(got, want)
	})
}

// Guards against bodies that were refused as malformed and are no longer, or the reverse.
func TestMessagesMustBeAList(t *testing.T) {
	for text, valid := range map[string]bool{
		`{"messages":[]}`: true, `{"messages":null}`: true, `{}`: true, `{"messages":[{}, null]}`: true,
		`{"messages":{}}`: false, `{"messages":"a"}`: false, `{"messages":[1]}`: false, `{"messages":[{"content":1}]}`: false,
	} {
		var body chatBody
		if err := json.Unmarshal([]byte(text), &body); (err == nil) != valid {
			t.Errorf("%s: %v", text, err)
		}
	}
}
