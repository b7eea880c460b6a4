package entry_test

import (
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/testbed"
)

func TestEngineKilledMidStream(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithStages(testbed.Stages(2, slowEngine())...))
	testbed.AfterFunc(t, 150*time.Millisecond, func() { bed.Engines[2].Kill() })
	wantCorrect(t, runItems(bed, noticeRequests(60, 20)))
}

func TestEngineFrozenMidStream(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithStages(testbed.Stages(2, slowEngine())...))
	testbed.AfterFunc(t, 150*time.Millisecond, func() { bed.Engines[0].SetFaults(standin.EngineFaults{Frozen: true}) })
	wantCorrect(t, runItems(bed, noticeRequests(60, 20)))
}

func TestDuplicateAndDelayedStepReplies(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithStages(testbed.Stages(2, slowEngine())...))
	for i, e := range bed.Engines {
		e.SetFaults(standin.EngineFaults{ExtraReplies: 1, LinkDelayMS: i * 2})
	}
	wantCorrect(t, runItems(bed, noticeRequests(60, 12)))
}

func TestTwoEnginesKilledAndOneRestarted(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithStages(testbed.Stages(2, slowEngine())...))
	testbed.AfterFunc(t, 100*time.Millisecond, func() {
		bed.Engines[0].Kill()
		bed.Engines[5].Kill()
		time.Sleep(150 * time.Millisecond)
		if err := bed.Engines[0].Restart(); err != nil {
			t.Errorf("restart engine: got error %v, want none", err)
		}
		bed.PublishUpstreams()
	})
	wantCorrect(t, runItems(bed, noticeRequests(60, 20)))
}

func TestLeavingEngineAdmitsNoGenerations(t *testing.T) {
	bed := startTolerantTestbed(t, testbed.WithStages(testbed.Stages(2, slowEngine())...))
	wantCorrect(t, runItems(bed, noticeRequests(20, 4)))
	leaving := bed.Engines[0]
	leaving.SetFaults(standin.EngineFaults{Leaving: true})
	wantCorrect(t, runItems(bed, noticeRequests(20, 4)))
	before := leaving.Counts().Admitted
	wantCorrect(t, runItems(bed, noticeRequests(40, 4)))
	if got := leaving.Counts().Admitted; got != before {
		t.Errorf("got %d generations admitted by the leaving engine, want 0", got-before)
	}
}
