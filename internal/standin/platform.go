package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/cespare/xxhash/v2"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/observe"
)

// PlatformConfig configures the simulated table service, object store and VM list.
type PlatformConfig struct {
	// Addresses, host:port. ControlAddr serves /faults, /counts and the registration of VMs.
	TableAddr, ObjectsAddr, VMListAddr, ControlAddr string
	// Rate limits of the table service in calls per second. Calls above them are delayed.
	WritesPerSecond, ReadsPerSecond float64
	// VMLag is the age of the state that the VM list shows.
	VMLag time.Duration
	// VMs are permanent members of the list.
	VMs []infra.VM
}

// shutdownGrace bounds the wait for requests in flight when a server stops.
const shutdownGrace = time.Second

// Platform is the simulated platform of one deployment.
type Platform struct {
	Table   *Table
	Objects *Objects
	VMs     *VMList

	tableInjector, objectsInjector, vmsInjector *FaultInjector
	listeners                                   map[string]*Listener
}

// NewPlatform returns a healthy, empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		Table:     NewTable(),
		Objects:   NewObjects(),
		VMs:       NewVMList(cfg.VMLag, cfg.VMs),
		listeners: map[string]*Listener{},
	}
	p.tableInjector = NewFaultInjector(tableHandler(p.Table, newRateLimiter(cfg.WritesPerSecond), newRateLimiter(cfg.ReadsPerSecond)),
		func(r *http.Request) bool { return r.URL.Path == infra.PathTableCommit })
	p.objectsInjector = NewFaultInjector(objectsHandler(p.Objects), func(r *http.Request) bool { return r.Method == http.MethodPut })
	p.vmsInjector = NewFaultInjector(vmsHandler(p.VMs), func(*http.Request) bool { return false })
	return p
}

// Serve serves the services of the platform until ctx ends.
func (p *Platform) Serve(ctx context.Context, cfg PlatformConfig) error {
	parts := []struct {
		name, addr string
		handler    http.Handler
	}{
		{"table", cfg.TableAddr, p.tableInjector},
		{"objects", cfg.ObjectsAddr, p.objectsInjector},
		{"vms", cfg.VMListAddr, p.vmsInjector},
		{"control", cfg.ControlAddr, p.controlHandler()},
	}
	for _, part := range parts {
		inner, err := net.Listen("tcp", part.addr)
		if err != nil {
			return err
		}
		p.listeners[part.name] = NewListener(inner, 0)
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range parts {
		group.Go(func() error { return serve(ctx, p.listeners[part.name], part.handler) })
	}
	return group.Wait()
}

// serve serves until ctx ends. Connections that are still open after the grace period are closed.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	err := observe.Serve(ctx, listener, handler, shutdownGrace)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// newRateLimiter returns a limiter whose burst is a tenth of a second's calls. A rate of zero or less means no limit.
func newRateLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

func tableHandler(table *Table, writes, reads *rate.Limiter) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+infra.PathTableRead, func(w http.ResponseWriter, r *http.Request) {
		var req infra.ReadRequest
		if !readRequest(w, r, &req) || !admit(w, r, reads) {
			return
		}
		rows, err := table.Read(r.Context(), req.Keys...)
		writeResponse(w, r, infra.RowsResponse{Rows: rows}, err)
	})
	mux.HandleFunc("POST "+infra.PathTableScan, func(w http.ResponseWriter, r *http.Request) {
		var req infra.ScanRequest
		if !readRequest(w, r, &req) || !admit(w, r, reads) {
			return
		}
		rows, err := table.Scan(r.Context(), req.Prefix, req.After, req.Limit)
		writeResponse(w, r, infra.RowsResponse{Rows: rows}, err)
	})
	mux.HandleFunc("POST "+infra.PathTableCommit, func(w http.ResponseWriter, r *http.Request) {
		var txn infra.Txn
		if !readRequest(w, r, &txn) || !admit(w, r, writes) {
			return
		}
		version, err := table.Commit(r.Context(), txn)
		writeResponse(w, r, infra.CommitResponse{Version: version}, err)
	})
	return mux
}

// readRequest decodes the body of a request. If that fails, it responds with an error and returns false.
func readRequest(w http.ResponseWriter, r *http.Request, message any) bool {
	if err := infra.ReadMessage(w, r, message); err != nil {
		infra.WriteError(w, r, http.StatusBadRequest,
			infra.ErrorBody{Code: infra.CodeInvalid, Message: err.Error()})
		return false
	}
	return true
}

// admit waits for the rate limiter. It fails only if the client disconnects, so an overload makes responses slow but never wrong.
func admit(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter) bool {
	if err := limiter.Wait(r.Context()); err != nil {
		writeRefusal(w, r, "client left: %v", err)
		return false
	}
	return true
}

// writeResponse writes a message, or an error that the clients of package infra turn back into its type.
func writeResponse(w http.ResponseWriter, r *http.Request, message any, err error) {
	var conflict *infra.ConflictError
	var unavailable *infra.UnavailableError
	switch {
	case err == nil:
		infra.WriteMessage(w, r, message)
	case errors.As(err, &conflict):
		infra.WriteError(w, r, http.StatusConflict, infra.ErrorBody{
			Code: infra.CodeConflict, Message: err.Error(), Conflicts: conflict.Keys,
		})
	case errors.As(err, &unavailable):
		writeRefusal(w, r, "%v", err)
	default:
		infra.WriteError(w, r, http.StatusInternalServerError,
			infra.ErrorBody{Code: infra.CodeUnknown, Message: err.Error()})
	}
}

func objectsHandler(objects *Objects) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+infra.PathObjects, func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, infra.MaxMessageBytes))
		if err != nil {
			infra.WriteError(w, r, http.StatusBadRequest,
				infra.ErrorBody{Code: infra.CodeInvalid, Message: err.Error()})
			return
		}
		err = objects.Put(r.Context(), strings.TrimPrefix(r.URL.Path, infra.PathObjects), data)
		if errors.Is(err, errOtherData) {
			infra.WriteError(w, r, http.StatusConflict,
				infra.ErrorBody{Code: infra.CodeInvalid, Message: err.Error()})
			return
		}
		writeResponse(w, r, struct{}{}, err)
	})
	mux.HandleFunc("GET "+infra.PathObjects, func(w http.ResponseWriter, r *http.Request) {
		data, err := objects.Get(r.Context(), strings.TrimPrefix(r.URL.Path, infra.PathObjects))
		if errors.Is(err, infra.ErrNotFound) {
			infra.WriteError(w, r, http.StatusNotFound,
				infra.ErrorBody{Code: infra.CodeNotFound, Message: err.Error()})
			return
		}
		if err != nil {
			writeResponse(w, r, nil, err)
			return
		}
		if id := r.Header.Get(infra.HeaderRequestID); id != "" {
			w.Header().Set(infra.HeaderRequestID, id)
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(data)
	})
	return mux
}

// writeNotModified sets the entity tag of list. If a conditional read has the same tag, it responds with 304 and returns true.
func writeNotModified(w http.ResponseWriter, r *http.Request, list []infra.VM) bool {
	hash := xxhash.New()
	if err := json.NewEncoder(hash).Encode(list); err != nil {
		return false
	}
	etag := strconv.Quote(strconv.FormatUint(hash.Sum64(), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") != etag {
		return false
	}
	if id := r.Header.Get(infra.HeaderRequestID); id != "" {
		w.Header().Set(infra.HeaderRequestID, id)
	}
	w.WriteHeader(http.StatusNotModified)
	return true
}

func vmsHandler(vms *VMList) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+infra.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		list, err := vms.List(r.Context())
		if err == nil && writeNotModified(w, r, list) {
			return
		}
		writeResponse(w, r, infra.VMsResponse{VMs: list}, err)
	})
	return mux
}

// PlatformFaults is the body of POST /faults of the simulated platform. An absent part stays unchanged.
type PlatformFaults struct {
	Table   *ServerFaults `json:"table,omitempty"`
	Objects *ServerFaults `json:"objects,omitempty"`
	VMs     *ServerFaults `json:"vms,omitempty"`
	// VMLagMillis changes the lag of the VM list.
	VMLagMillis *int64 `json:"vm_lag_ms,omitempty"`
	// Silence names the services (table, objects, vms) whose currently open connections drop their traffic permanently.
	Silence []string `json:"silence,omitempty"`
}

// SetFaults applies fault switches.
func (p *Platform) SetFaults(f PlatformFaults) {
	set := func(injector *FaultInjector, faults *ServerFaults) {
		if faults != nil {
			injector.SetFaults(*faults)
		}
	}
	set(p.tableInjector, f.Table)
	set(p.objectsInjector, f.Objects)
	set(p.vmsInjector, f.VMs)
	if f.VMLagMillis != nil {
		p.VMs.SetLag(time.Duration(*f.VMLagMillis) * time.Millisecond)
	}
	for _, name := range f.Silence {
		if listener, found := p.listeners[name]; found && name != "control" {
			listener.Silence()
		}
	}
}

// Faults returns the fault switches.
func (p *Platform) Faults() PlatformFaults {
	table, objects, vms := p.tableInjector.Faults(), p.objectsInjector.Faults(), p.vmsInjector.Faults()
	lag := p.VMs.Lag().Milliseconds()
	return PlatformFaults{Table: &table, Objects: &objects, VMs: &vms, VMLagMillis: &lag}
}

// PlatformCounts is the response of GET /counts of the simulated platform.
type PlatformCounts struct {
	Table   TableStats `json:"table"`
	Objects int        `json:"objects"`
}

// Registration is the body of POST /standin/vms, by which the simulated workers register their VMs.
type Registration struct {
	Source string     `json:"source"`
	VMs    []infra.VM `json:"vms"`
}

// pathRegister is the path of Registration. It is not part of the platform's protocol.
const pathRegister = "/standin/vms"

// controlHandler returns the handler of the control address.
func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	addFaultRoutes(mux, p.Faults, p.SetFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, r *http.Request) {
		infra.WriteMessage(w, r, PlatformCounts{Table: p.Table.Stats(), Objects: p.Objects.Len()})
	})
	mux.HandleFunc("POST "+pathRegister, func(w http.ResponseWriter, r *http.Request) {
		var req Registration
		if readRequest(w, r, &req) {
			p.VMs.Register(req.Source, req.VMs)
			infra.WriteMessage(w, r, struct{}{})
		}
	})
	return mux
}

// addFaultRoutes adds GET and POST /faults. An unknown switch is refused, because ignoring a misspelt one would leave the
// platform healthy unnoticed.
func addFaultRoutes[F any](mux *http.ServeMux, get func() F, set func(F)) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, r *http.Request) {
		infra.WriteMessage(w, r, get())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, infra.MaxMessageBytes))
		decoder.DisallowUnknownFields()
		var faults F
		if err := decoder.Decode(&faults); err != nil {
			infra.WriteError(w, r, http.StatusBadRequest,
				infra.ErrorBody{Code: infra.CodeInvalid, Message: err.Error()})
			return
		}
		set(faults)
		infra.WriteMessage(w, r, get())
	})
}
