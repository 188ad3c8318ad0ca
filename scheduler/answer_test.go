package scheduler

import "testing"

func TestDecideAnswerBasis(t *testing.T) {
	running := answerFacts{inMemory: true, accepted: true, dependencies: FromMemory, leading: true}
	cases := []struct {
		name   string
		change func(*answerFacts)
		want   AnswerBasis
	}{
		{"a running job", func(*answerFacts) {}, FromMemory},
		{"a job that is not in memory", func(f *answerFacts) { f.inMemory = false }, NotInMemory},
		{"a job whose record is not stored", func(f *answerFacts) { f.accepted = false }, NotAccepted},
		{"a terminal state that is decided", func(f *answerFacts) { f.terminal = true }, TerminalStateUnconfirmed},
		{"a terminal state that is stored", func(f *answerFacts) { f.terminal, f.terminalStored = true, true }, FromTerminalRecord},
		{"a terminal state that is stored, on a controller that no longer leads", func(f *answerFacts) { f.terminal, f.terminalStored, f.leading = true, true, false }, FromTerminalRecord},
		{"a dependency's cancellation that is decided but not stored", func(f *answerFacts) { f.dependencies = DependencyCancellationUnconfirmed }, DependencyCancellationUnconfirmed},
		{"a dependency that is not looked up", func(f *answerFacts) { f.dependencies = DependencyUnknown }, DependencyUnknown},
		{"a controller that no longer leads", func(f *answerFacts) { f.leading = false }, NotLeading},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			facts := running
			tc.change(&facts)
			if got := decideAnswer(facts); got != tc.want {
				t.Errorf("decided %q, want %q", got, tc.want)
			}
		})
	}
}
