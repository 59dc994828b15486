// A file of days: what operator bookings plan takes.
#Plan: {
	bookings: [#Booking, ...#Booking]
}

#Booking: {
	id:        string & =~"^[^*/?#][^/?#]{0,127}$"
	tenant:    string & !=""
	service:   string & !=""
	route?:    string
	zone?:     string
	start:     #Time
	end:       #Time
	ramp?:     #Span
	slots?:    number & >0
	rate?:     number & >0 // requests a second
	work?:     #Span       // that one of them takes
	rank?:     int & >=0
	owner:     string & !=""
	reason?:   string
}

#Time: string & =~"^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}(:[0-9]{2})?(Z|[+-][0-9]{2}:[0-9]{2})$"
#Span: string & =~"^([0-9.]+(ms|s|m|h))+$"
