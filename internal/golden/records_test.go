package golden_test

import (
	"bytes"
	"testing"

	"switchferry/configuration"
	"switchferry/dataset"
	"switchferry/relay"
	"switchferry/replicas"
	"switchferry/store"
	"switchferry/tuning"
	"switchferry/upgrade"
)

// Records in the state service are decoded and encoded as by the version in production.
func TestRecordsMatchGolden(t *testing.T) {
	compareMessages(t, "records", []goldenMessage{
		messageOf[store.LeaderRecord]("leader"),
		messageOf[store.JobRecord]("job"),
		messageOf[store.ShardRecord]("shard"),
		messageOf[store.FinalRecord]("final"),
		messageOf[store.InboxRecord]("inbox"),
		messageOf[store.ImagesRecord]("images"),
		messageOf[replicas.Hint]("holdings"),
		messageOf[dataset.Entry]("dataset"),
		messageOf[relay.Packet]("letter"),
		messageOf[relay.Message]("letter-message"),
		messageOf[store.RelayedCommands]("mail"),
		messageOf[store.FenceRecord]("fence"),
		messageOf[upgrade.VersionRecord]("version-mark"),
		messageOf[upgrade.TokenRecord]("token-support"),
		messageOf[configuration.Head]("configuration-head"),
		messageOf[configuration.Part]("configuration-part"),
		messageOf[configuration.Revision]("configuration-revision"),
	})
}

// Keys of the state service are as documented for operators.
func TestStateKeysDoNotChange(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{store.LeaderKey, "sf/leader"},
		{store.JobKey("run-000412"), "sf/j/run-000412"},
		{store.FinalKey("run-000412"), "sf/f/run-000412"},
		{store.InboxKey("run-000412"), "sf/in/run-000412"},
		{store.ShardOf("run-000412", 900, tuning.TasksPerShard).Key(), "sf/t/run-000412/2"},
		{store.ShardOf("run-000412", 900, 64).Key(), "sf/t/run-000412/14.64"},
		{store.ImagesKey(3), "sf/images/3"},
		{store.ReplicasKey(3), "sf/holds/3"},
		{store.DatasetKey("inventory-7"), "sf/d/inventory-7"},
		{store.RelayKey("n1", 3), "sf/relay/n1/3"},
		{store.RelayResponseKey("n1", 3), "sf/mail/n1/3"},
		{store.AgentRelayKey("n1", 3), "sf/srelay/n1/3"},
		{store.AgentResponseKey("n1", 3), "sf/smail/n1/3"},
		{store.FenceKey, "sf/fence"},
		{upgrade.RecordPrefix, "sf/version/"},
		{upgrade.TokenRecordPrefix, "sf/tokens/"},
		{configuration.HeadKey, "sf/config/head"},
		{configuration.PartKey(41, 2), "sf/config/r/00000041/2"},
	} {
		if c.got != c.want {
			t.Errorf("key %q, want %q", c.got, c.want)
		}
	}
}

// A shard's key is parsed into the shard's job, number and size.
func TestShardKeysAreParsed(t *testing.T) {
	for _, want := range []store.Shard{store.ShardOf("run-000412", 900, tuning.TasksPerShard), store.ShardOf("run-000412", 900, 64)} {
		if got, ok := store.ParseShard(want.Key()); !ok || got != want {
			t.Errorf("%s is parsed as %+v, %t", want.Key(), got, ok)
		}
	}
}

// The bitmap of done tasks is packed into text and unpacked from it.
func TestTaskBitmapEncodingDoesNotChange(t *testing.T) {
	shard := store.ShardOf("run-000412", 64, 64)
	done := store.NewTaskBitmap(200)
	for _, task := range []int{64, 67, 100} {
		done.Set(task)
	}
	const want = "CQAAABA"
	if got := done.Pack(shard); got != want {
		t.Errorf("packed as %q, want %q", got, want)
	}
	unpacked := store.NewTaskBitmap(200)
	if err := unpacked.Unpack(shard, want); err != nil || !bytes.Equal(unpacked, done) {
		t.Errorf("unpacked as %v, %v; want %v", unpacked, err, done)
	}
}
