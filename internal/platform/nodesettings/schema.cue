// What a process needs to find in its settings file. Fields that are not named here pass.
#Settings: {
	node!:  string & !=""
	role:   string | *""
	serves: [...string]
	ip!:    string & !=""
	zone!:  string & !=""
	region: string | *""
	zones: [string]: string
	listen: {
		front?:     string
		readiness?: string
		control?:   string
		...
	}
	inner_port_range!: [int & >0 & <65536, int & >0 & <65536]
	seeds!: [string, ...string]
	first_start: bool | *false
	counted:     bool | *false
	limits: {
		cpu_share:    number & >0 | *1
		memory_mb:    number & >0 | *256
		file_handles: int & >0 | *1024
		disk_mb:      number | *0
		...
	}
	tolerance: {
		machines: int & >=0 | *1
		...
	}
	data_dir:      string | null | *null
	beat_period_s: number & >0 | *1.5
	bounds: [...string]
	...
}
