// Package settings reads the settings of daemons: the bootstrap file of one process, and the tree of levels that
// operators keep in version control.
package settings

// Bootstrap is what one daemon must know before it can read the tree.
type Bootstrap struct {
	// VM is the name of this VM as the VM list shows it.
	VM     string `toml:"vm" doc:"Name of this VM as the VM list shows it."`
	Region string `toml:"region" doc:"Region of this VM."`
	Domain string `toml:"domain" doc:"Failure domain of this VM."`
	// CallerAddr is set for entry daemons only.
	CallerAddr string `toml:"caller_addr,omitempty" doc:"host:port that callers reach; entry daemons only."`
	InnerAddr  string `toml:"inner_addr" doc:"host:port for inner messages."`
	AdminAddr  string `toml:"admin_addr" doc:"host:port of metrics, health and, on entry daemons, the operators' API."`
	// PollAddr is set for sched daemons only.
	PollAddr string   `toml:"poll_addr,omitempty" doc:"host:port that workers poll; sched daemons only."`
	Platform Platform `toml:"platform"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableURL   string   `toml:"table_url" doc:"Base URL of the table service."`
	ObjectsURL string   `toml:"objects_url" doc:"Base URL of the object store."`
	VMListURL  string   `toml:"vm_list_url" doc:"Base URL of the VM list."`
	Timeout    Duration `toml:"timeout" default:"2s" min:"100ms" max:"1m" doc:"Deadline of one call."`
}
