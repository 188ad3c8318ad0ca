package scheduler

import "testing"

func TestAnswerIsDecidedByWhatOthersCanHaveAnswered(t *testing.T) {
	running := answerFacts{inMemory: true, accepted: true, dependencies: FromMemory, leading: true}
	cases := []struct {
		name   string
		change func(*answerFacts)
		want   AnswerBasis
	}{
		{"a job that goes on", func(*answerFacts) {}, FromMemory},
		{"an unknown job", func(f *answerFacts) { f.inMemory = false }, NotInMemory},
		{"a job that is not stored", func(f *answerFacts) { f.accepted = false }, NotAccepted},
		{"an end that is decided", func(f *answerFacts) { f.ended = true }, EndUnderWay},
		{"an end that is stored", func(f *answerFacts) { f.ended, f.endStored = true, true }, FromStoredEnd},
		{"an end that is stored, of an earlier leader", func(f *answerFacts) { f.ended, f.endStored, f.leading = true, true, false }, FromStoredEnd},
		{"a dependency's cancellation that is decided", func(f *answerFacts) { f.dependencies = DependencyEndUnderWay }, DependencyEndUnderWay},
		{"an unknown dependency", func(f *answerFacts) { f.dependencies = DependencyUnknown }, DependencyUnknown},
		{"an earlier leader", func(f *answerFacts) { f.leading = false }, NotLeading},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			facts := running
			tc.change(&facts)
			if got := decideAnswer(facts); got != tc.want {
				t.Errorf("%q, want %q", got, tc.want)
			}
		})
	}
}
