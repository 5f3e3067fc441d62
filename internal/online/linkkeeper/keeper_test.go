package linkkeeper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/linkkeeper"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func expectWay(t *testing.T, k *linkkeeper.Keeper, address string, now time.Time, want linkkeeper.Way) {
	t.Helper()
	qt.Check(t, k.Way(address, now), qt.Equals, want, qt.Commentf("%s at %v", address, now.Sub(start)))
}

// Guards against: a VM takes an upstream that has ended for a lost link, or the other way round.
func TestLinkIsLostOnlyIfPeerReachesUpstream(t *testing.T) {
	t.Run("a failure alone shows nothing", func(t *testing.T) {
		k := linkkeeper.New()
		qt.Check(t, k.RecordFailure("a", true, at(0)), qt.IsFalse)
		expectWay(t, k, "a", at(1), linkkeeper.WayDirect)
	})
	t.Run("failure, then success of a peer", func(t *testing.T) {
		k := linkkeeper.New()
		k.RecordFailure("a", true, at(0))
		qt.Check(t, k.RecordPeerSuccess("a", at(10)), qt.IsTrue)
		expectWay(t, k, "a", at(11), linkkeeper.WayPeer)
	})
	t.Run("success of a peer, then failure", func(t *testing.T) {
		k := linkkeeper.New()
		k.RecordPeerSuccess("a", at(0))
		qt.Check(t, k.RecordFailure("a", false, at(500)), qt.IsTrue)
		expectWay(t, k, "a", at(501), linkkeeper.WayPeer)
	})
	t.Run("not if they are not simultaneous", func(t *testing.T) {
		k := linkkeeper.New()
		k.RecordFailure("a", true, at(0))
		qt.Check(t, k.RecordPeerSuccess("a", at(2500)), qt.IsFalse)
	})
	t.Run("it is reported once", func(t *testing.T) {
		k := linkkeeper.New()
		k.RecordFailure("a", true, at(0))
		k.RecordPeerSuccess("a", at(10))
		qt.Check(t, k.RecordPeerSuccess("a", at(20)), qt.IsFalse)
		qt.Check(t, k.RecordFailure("a", true, at(20)), qt.IsFalse)
	})
	t.Run("a success restores it", func(t *testing.T) {
		k := linkkeeper.New()
		k.RecordFailure("a", true, at(0))
		k.RecordPeerSuccess("a", at(10))
		qt.Check(t, k.RecordSuccess("a", at(20)), qt.IsTrue)
		expectWay(t, k, "a", at(21), linkkeeper.WayDirect)
		qt.Check(t, k.RecordSuccess("a", at(30)), qt.IsFalse)
	})
}

// Guards against: a VM that has lost some of its links gives up those that work.
func TestEachLinkIsLostByItself(t *testing.T) {
	k := linkkeeper.New()
	k.RecordFailure("a", true, at(0))
	k.RecordPeerSuccess("a", at(10))
	expectWay(t, k, "b", at(11), linkkeeper.WayEither)
	k.RecordSuccess("b", at(20))
	expectWay(t, k, "b", at(21), linkkeeper.WayDirect)
	expectWay(t, k, "a", at(21), linkkeeper.WayPeer)
}

// Guards against: a VM that is cut off tells others that sound upstreams fail.
func TestCutOff(t *testing.T) {
	expectCutOff := func(t *testing.T, k *linkkeeper.Keeper, now time.Time, want bool) {
		t.Helper()
		qt.Check(t, k.IsCutOff(now), qt.Equals, want)
	}
	t.Run("not without failures", func(t *testing.T) { expectCutOff(t, linkkeeper.New(), at(0), false) })
	t.Run("by a lost link", func(t *testing.T) {
		k := linkkeeper.New()
		k.RecordSuccess("b", at(0))
		k.RecordFailure("a", true, at(10))
		k.RecordPeerSuccess("a", at(20))
		expectCutOff(t, k, at(30), true)
		k.RecordSuccess("b", at(40))
		expectCutOff(t, k, at(50), false)
	})
	t.Run("by several failures that nobody explains", func(t *testing.T) {
		k := linkkeeper.New()
		for _, address := range []string{"a", "b", "c"} {
			expectCutOff(t, k, at(0), false)
			k.RecordFailure(address, false, at(10))
		}
		expectCutOff(t, k, at(20), true)
		expectCutOff(t, k, at(5000), false)
	})
	t.Run("not if peers don't reach those upstreams either", func(t *testing.T) {
		k := linkkeeper.New()
		for _, address := range []string{"a", "b", "c", "d"} {
			k.RecordFailure(address, true, at(10))
			k.RecordUpstreamDown(address)
		}
		expectCutOff(t, k, at(20), false)
	})
	t.Run("silently, by several links", func(t *testing.T) {
		k := linkkeeper.New()
		for _, address := range []string{"a", "b"} {
			qt.Check(t, k.IsSilentlyCutOff(), qt.IsFalse)
			k.RecordFailure(address, false, at(10))
			k.RecordPeerSuccess(address, at(20))
		}
		qt.Check(t, k.IsSilentlyCutOff(), qt.IsTrue)
		k.RecordSuccess("c", at(30))
		qt.Check(t, k.IsSilentlyCutOff(), qt.IsFalse)
	})
}

// Guards against: requests wait for an upstream that nobody reaches, or never learn that it is back.
func TestUnreachableUpstreamIsCheckedWhileItIsWanted(t *testing.T) {
	k := linkkeeper.New()
	k.RecordUnreachable("a", at(0))
	expectWay(t, k, "a", at(10), linkkeeper.WayNone)
	qt.Check(t, k.Due(at(20)), qt.DeepEquals, linkkeeper.Checks{Unreachable: []string{"a"}})
	t.Run("a failed check extends it", func(t *testing.T) {
		k.RecordUnreachable("a", at(800))
		expectWay(t, k, "a", at(2500), linkkeeper.WayNone)
	})
	t.Run("it ends", func(t *testing.T) { expectWay(t, k, "a", at(2900), linkkeeper.WayDirect) })
	t.Run("it is forgotten without requests", func(t *testing.T) {
		qt.Check(t, k.Due(at(9000)), qt.DeepEquals, linkkeeper.Checks{})
	})
	t.Run("a peer that reaches it ends it", func(t *testing.T) {
		k.RecordUnreachable("b", at(0))
		k.RecordPeerSuccess("b", at(10))
		expectWay(t, k, "b", at(20), linkkeeper.WayDirect)
	})
}

func TestLostLinksAreDueForChecks(t *testing.T) {
	k := linkkeeper.New()
	for _, address := range []string{"b", "a"} {
		k.RecordFailure(address, true, at(0))
		k.RecordPeerSuccess(address, at(10))
	}
	qt.Check(t, k.Due(at(100_000)), qt.DeepEquals, linkkeeper.Checks{Lost: []string{"a", "b"}})
	k.Retain(map[string]string{"b": "id"})
	qt.Check(t, k.Due(at(100_000)), qt.DeepEquals, linkkeeper.Checks{Lost: []string{"b"}})
}
