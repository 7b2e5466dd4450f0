package measure

import (
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

func testEnv(t *testing.T, seed uint64) Env {
	return Env{Seed: seed, Bubble: func(f func()) { synctest.Test(t, func(*testing.T) { f() }) }}
}

func TestClaimTrial(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("WORLDS"))
	start := time.Now()
	sum := runClaimWorlds(testEnv(t, 1), max(n, 1), claimHistories, without{})
	t.Logf("%+v in %s", sum, time.Since(start))
}

func TestAnswerTrial(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("WORLDS"))
	start := time.Now()
	sum := runAnswerWorlds(testEnv(t, 1), max(n, 1), answerHistories, without{})
	t.Logf("%+v in %s", sum, time.Since(start))
}

func TestStopTrial(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("WORLDS"))
	start := time.Now()
	sum := runStopWorlds(testEnv(t, 1), max(n, 1), stopHistories, without{})
	t.Logf("%+v in %s", sum, time.Since(start))
}
