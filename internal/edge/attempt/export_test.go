package attempt

// Causes returns all causes.
func Causes() (all []Cause) {
	for c := range causes {
		all = append(all, c)
	}
	return all
}

// Events returns all events of an attempt.
func Events() (all []Event) {
	for e := range events {
		all = append(all, e)
	}
	return all
}
