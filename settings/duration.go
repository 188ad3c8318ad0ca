package settings

import "time"

// Seconds converts a number of seconds, as the settings and the wire give durations, to a time.Duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
