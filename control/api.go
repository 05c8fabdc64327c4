package control

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/settings"
)

const (
	// apiTimeout is the deadline of one call of the operators' API, except those that wait.
	apiTimeout = 20 * time.Second
	// daemonCallTimeout is the deadline of one call to a daemon.
	daemonCallTimeout = time.Second
	// maxAPIBody is the largest request body in bytes. A request can carry a whole settings tree.
	maxAPIBody = 16 << 20
	// maxParallelCalls limits concurrent calls to daemons, so that one API call in a large deployment does not overload
	// this VM.
	maxParallelCalls = 64
)

// DaemonClient is the client interface through which the operators' API calls other daemons.
type DaemonClient interface {
	Status(context.Context, *innerproto.StatusRequest) (*innerproto.StatusResponse, error)
	AnnounceDomain(context.Context, *innerproto.AnnounceDomainRequest) (*innerproto.AnnounceDomainResponse, error)
	Poke(context.Context, *innerproto.PokeRequest) (*innerproto.PokeResponse, error)
}

// APIConfig holds the dependencies of the operators' API.
type APIConfig struct {
	Store *Store
	Table infra.Table
	// VMs returns the VM list.
	VMs func() []infra.VM
	// Dial returns a client of the daemon at an inner address.
	Dial func(addr string) DaemonClient
	Log  *logrus.Entry
	// Registry is where the API's metrics are registered; nil registers none.
	Registry prometheus.Registerer
}

// API is the operators' HTTP API. Every entry daemon serves it on its admin address under /api/v1.
type API struct {
	cfg APIConfig
}

// NewAPI returns an API that Register mounts on a router.
func NewAPI(cfg APIConfig) *API { return &API{cfg: cfg} }

// Register adds the routes to a group whose prefix is /api/v1.
func (a *API) Register(group *echo.Group) {
	group.Use(newAPIMetrics(a.cfg.Registry).count)
	group.GET("/settings", a.getSettings)
	group.POST("/settings", a.applySettings)
	group.POST("/settings/check", a.checkSettings)
	group.GET("/settings/history", a.settingsHistory)
	group.GET("/settings/explain", a.explainSetting)
	group.GET("/settings/status", a.settingsStatus)
	group.POST("/jobs", a.submitJob)
	group.GET("/jobs", a.listJobs)
	group.GET("/jobs/:id", a.showJob)
	group.POST("/jobs/:id/cancel", a.cancelJob)
	group.GET("/domains", a.listDomains)
	group.POST("/domains/:name", a.setDomain)
	group.GET("/cells", a.listCells)
	group.GET("/burn", a.burnReport)
}

// APIError is the body of every error response.
type APIError struct {
	// Code is the machine-readable error code: invalid, conflict, not-found, unavailable, unknown-outcome or internal.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Problems lists why settings were rejected.
	Problems []settings.Problem `json:"problems,omitempty"`
	// Stale is set if the parent version of the settings is no longer current.
	Stale *StaleParentError `json:"stale,omitempty"`
}

// Error implements error.
func (e *APIError) Error() string { return e.Code + ": " + e.Message }

// writeError sends the error response for err.
func (a *API) writeError(c echo.Context, err error) error {
	status, body := a.errorResponse(err)
	return c.JSON(status, body)
}

// errorResponse maps err to an HTTP status and a response body.
func (a *API) errorResponse(err error) (int, *APIError) {
	body := &APIError{Code: "internal", Message: err.Error()}
	var api *APIError
	var problems settings.Problems
	var unavailable *infra.UnavailableError
	switch {
	case errors.As(err, &api):
		body = api
	case errors.As(err, &body.Stale):
		body.Code = "conflict"
	case errors.As(err, &problems):
		body.Code, body.Problems = "invalid", problems
	case errors.Is(err, errors.NotFound):
		body.Code = "not-found"
	case errors.Is(err, errors.NotValid):
		body.Code = "invalid"
	case infra.IsConflict(err):
		body.Code = "conflict"
	case infra.IsUnknownOutcome(err):
		body.Code = "unknown-outcome"
	case errors.As(err, &unavailable), errors.Is(err, context.DeadlineExceeded):
		body.Code = "unavailable"
	}
	return httpStatus(body.Code), body
}

func httpStatus(code string) int {
	switch code {
	case "invalid":
		return http.StatusUnprocessableEntity
	case "conflict":
		return http.StatusConflict
	case "not-found":
		return http.StatusNotFound
	case "unavailable":
		return http.StatusServiceUnavailable
	case "unknown-outcome":
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

// bind decodes a JSON request body and rejects unknown fields.
func bind(c echo.Context, into any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxAPIBody)
	decoder := newStrictDecoder(body)
	if err := decoder.Decode(into); err != nil {
		return &APIError{Code: "invalid", Message: "request body: " + err.Error()}
	}
	return nil
}

func (a *API) withTimeout(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), apiTimeout)
}

// DaemonStatus is the status that one daemon returned, or the error of the call.
type DaemonStatus struct {
	VM     string `json:"vm"`
	Daemon string `json:"daemon"`
	Domain string `json:"domain"`
	// SettingsVersion is -1 if the call failed.
	SettingsVersion int64  `json:"settings_version"`
	Error           string `json:"error,omitempty"`

	response *innerproto.StatusResponse
}

// fetchStatuses gets the status of the daemons on all entry VMs, or on those of one failure domain if domain is set.
func (a *API) fetchStatuses(ctx context.Context, domain string, req *innerproto.StatusRequest) []DaemonStatus {
	var statuses []DaemonStatus
	var addrs []string
	for _, vm := range a.cfg.VMs() {
		if vm.Role != infra.RoleEntry || (domain != "" && vm.Domain != domain) {
			continue
		}
		statuses = append(statuses, DaemonStatus{VM: vm.ID, Daemon: "entry", Domain: vm.Domain, SettingsVersion: -1})
		statuses = append(statuses, DaemonStatus{VM: vm.ID, Daemon: "sched", Domain: vm.Domain, SettingsVersion: -1})
		addrs = append(addrs, vm.Addr, vm.SchedAddr)
	}
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i := range statuses {
		group.Go(func() error {
			a.fetchStatus(ctx, addrs[i], req, &statuses[i])
			return nil
		})
	}
	_ = group.Wait() // fetchStatus stores errors in the status
	return statuses
}

func (a *API) fetchStatus(ctx context.Context, addr string, req *innerproto.StatusRequest, status *DaemonStatus) {
	ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
	defer cancel()
	response, err := a.cfg.Dial(addr).Status(ctx, req)
	if err != nil {
		status.Error = err.Error()
		return
	}
	status.response = response
	status.SettingsVersion = response.SettingsVersion
}
