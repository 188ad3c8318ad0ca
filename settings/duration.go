package settings

import "time"

// Seconds converts a number of seconds, the unit of durations in settings and messages, to a time.Duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
