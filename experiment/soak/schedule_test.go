package soak

import (
	"slices"
	"testing"
	"time"
)

func TestScheduleIsDeterminedBySeed(t *testing.T) {
	const duration = 30 * time.Second
	if !slices.Equal(DrawSchedule(7, Kinds(), controllers, duration), DrawSchedule(7, Kinds(), controllers, duration)) {
		t.Error("the same seed gave different schedules")
	}
	if slices.Equal(DrawSchedule(7, Kinds(), controllers, duration), DrawSchedule(8, Kinds(), controllers, duration)) {
		t.Error("different seeds gave the same schedule")
	}
}

func TestFaultsOverlapAndEndWithinDuration(t *testing.T) {
	const duration = 30 * time.Second
	overlaps, seen := 0, map[Kind]bool{}
	for seed := range uint64(50) {
		faults := DrawSchedule(seed, Kinds(), controllers, duration)
		for i, fault := range faults {
			seen[fault.Kind] = true
			if fault.At < quietStart || fault.End() > duration || fault.For < durations[fault.Kind].shortest {
				t.Fatalf("seed %d: %s", seed, fault)
			}
			if i > 0 && faults[i-1].End() > fault.At {
				overlaps++
			}
		}
	}
	if len(seen) != len(Kinds()) {
		t.Errorf("%d of %d kinds in 50 schedules", len(seen), len(Kinds()))
	}
	if overlaps < 200 {
		t.Errorf("%d overlaps in 50 schedules", overlaps)
	}
}

func TestScheduleContainsOnlyRequestedKinds(t *testing.T) {
	for _, fault := range DrawSchedule(3, []Kind{SlowState, Kill}, controllers, time.Minute) {
		if fault.Kind != SlowState && fault.Kind != Kill {
			t.Errorf("unrequested kind of fault: %s", fault)
		}
	}
}
