// The shape of a configuration. What items say of each other, and of the version before, is checked by package config.
#Version: =~"^r[0-9]+$"

#Service: {
	name!:         string & !=""
	health_path?:  =~"^/"
	conn_limit?:   int & >0
	protocol?:     string
	tls?:          bool
	self_dedupes?: bool
	...
}

#Share: {
	service!: string & !=""
	gain!:    number & >=0
	...
}

#Channel: {
	name!:        string & !=""
	path_prefix!: =~"^/"
	kind!:        =~"^(safe|unsafe|keyed)$"
	deadline_s!:  number & >0
	setpoint_s?:  number & >=0
	priority?:    int & >=0
	tries!:       int & >0
	service?:     string & !=""
	split?: [#Share, ...#Share]
	...
}

#Plant: {
	plant!: string & !=""
	channels!: [...#Channel]
	...
}

#Limits: {
	max_header_bytes?: int & >=0
	max_body_bytes?:   int & >=0
	header_wait_s?:    number & >=0
	idle_s?:           number & >=0
	...
}

#Config: {
	version!:  #Version
	services!: [...#Service]
	limits?:   #Limits
	plants!: [...#Plant]
	...
}

#Change: {
	version!: #Version
	upsert?: {
		services?: [...#Service]
		limits?:   #Limits
		plants?: [...#Plant]
		...
	}
	remove?: {
		routes?: [...string]
		services?: [...string]
		plants?: [...string]
		...
	}
	...
}
