package store

import (
	"fmt"
	"slices"
	"testing"
)

// A bitmap that is packed shard by shard and unpacked again contains the same tasks.
func TestTaskBitmapRoundTripThroughShards(t *testing.T) {
	const tasks = 1000
	want := NewTaskBitmap(tasks)
	for _, task := range []int{0, 399, 400, 807, 999} {
		want.Set(task)
	}
	for _, size := range []int{400, 40} {
		t.Run(fmt.Sprintf("shards of %d", size), func(t *testing.T) {
			got := NewTaskBitmap(tasks)
			for index := range (tasks + size - 1) / size {
				shard := Shard{"run-1", index, size}
				if err := got.Unpack(shard, want.Pack(shard)); err != nil {
					t.Fatal(err)
				}
			}
			if !slices.Equal(got, want) {
				t.Error("the unpacked bitmap differs")
			}
			for task := range tasks {
				if got.Has(task) != want.Has(task) {
					t.Fatalf("task %d differs", task)
				}
			}
		})
	}
}

func TestUnpackRejectsShardLongerThanItsJob(t *testing.T) {
	bitmap := NewTaskBitmap(1000)
	if bitmap.Unpack(Shard{"run-1", 2, 400}, "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA") == nil {
		t.Error("a shard longer than its job was accepted")
	}
}

func TestShardKeyRoundTrip(t *testing.T) {
	for _, want := range []Shard{{"run-000412", 17, 400}, {"run-000412", 17, 40}} {
		if got, ok := ParseShard(want.Key()); got != want || !ok {
			t.Error(got, ok)
		}
		if got := ShardOf(want.Job, want.Index*want.Size+3, want.Size); got != want {
			t.Errorf("task 3 of shard %v is assigned to shard %v", want, got)
		}
	}
	if key := (Shard{"run-000412", 17, 400}).Key(); key != "sf/t/run-000412/17" {
		t.Error("key differs from that of data version 1:", key)
	}
}

func TestParseShardRejectsMalformedKeys(t *testing.T) {
	for _, key := range []string{
		"sf/t/run-1", "sf/t/run-1/", "sf/t/run-1/-1", "sf/t/run-1/1.", "sf/t/run-1/1.0", "sf/t/run-1/1.7",
		"sf/t/run-1/999999999",
	} {
		if _, ok := ParseShard(key); ok {
			t.Error("malformed key accepted:", key)
		}
	}
}
