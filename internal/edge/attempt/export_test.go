package attempt

// Causes are all lines of the table.
func Causes() (all []Cause) {
	for c := range causes {
		all = append(all, c)
	}
	return all
}

// Events are all events of a try.
func Events() (all []Event) {
	for e := range events {
		all = append(all, e)
	}
	return all
}
