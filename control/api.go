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
	// askTimeout is the deadline of one question to a daemon.
	askTimeout = time.Second
	// maxAPIBody bounds a request, which may hold a whole settings tree.
	maxAPIBody = 16 << 20
	// maxParallelAsks bounds the questions in flight, so that a call on a large deployment does not flood this VM.
	maxParallelAsks = 64
)

// Daemon is another daemon as the operators' API asks it.
type Daemon interface {
	Status(context.Context, *innerproto.StatusRequest) (*innerproto.StatusResponse, error)
	AnnounceDomain(context.Context, *innerproto.AnnounceDomainRequest) (*innerproto.AnnounceDomainResponse, error)
	Poke(context.Context, *innerproto.PokeRequest) (*innerproto.PokeResponse, error)
}

// APIConfig holds what the operators' API works on.
type APIConfig struct {
	Store *Store
	Table infra.Table
	// VMs returns the VM list.
	VMs func() []infra.VM
	// Dial returns the daemon at an inner address.
	Dial func(addr string) Daemon
	Log  *logrus.Entry
	// Registry takes the API's metrics; nil registers none.
	Registry prometheus.Registerer
}

// API is the operators' HTTP API. Every entry daemon serves it on its admin address under /api/v1.
type API struct {
	cfg APIConfig
}

// NewAPI returns the API.
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

// APIError is the body of every refusal.
type APIError struct {
	// Code is a word that programs can match: invalid, conflict, not-found, unavailable, unknown-outcome, internal.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Problems is set for settings that were not accepted.
	Problems []settings.Problem `json:"problems,omitempty"`
	// Stale is set for settings whose parent version is not current.
	Stale *StaleParentError `json:"stale,omitempty"`
}

// Error implements error.
func (e *APIError) Error() string { return e.Code + ": " + e.Message }

// fail answers a request that could not be done.
func (a *API) fail(c echo.Context, err error) error {
	status, body := a.refusal(err)
	return c.JSON(status, body)
}

func (a *API) refusal(err error) (int, *APIError) {
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
	return statusOf(body.Code), body
}

func statusOf(code string) int {
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

// bind reads a JSON body strictly.
func bind(c echo.Context, into any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxAPIBody)
	decoder := newStrictDecoder(body)
	if err := decoder.Decode(into); err != nil {
		return &APIError{Code: "invalid", Message: "request body: " + err.Error()}
	}
	return nil
}

func (a *API) timeout(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), apiTimeout)
}

// DaemonStatus is what one daemon answered, or why it did not.
type DaemonStatus struct {
	VM     string `json:"vm"`
	Daemon string `json:"daemon"`
	Domain string `json:"domain"`
	// SettingsVersion is -1 if the daemon could not be reached.
	SettingsVersion int64  `json:"settings_version"`
	Error           string `json:"error,omitempty"`

	answer *innerproto.StatusResponse
}

// askAll asks every daemon of every entry VM, or of one failure domain, for its status.
func (a *API) askAll(ctx context.Context, domain string, req *innerproto.StatusRequest) []DaemonStatus {
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
	group.SetLimit(maxParallelAsks)
	for i := range statuses {
		group.Go(func() error {
			a.ask(ctx, addrs[i], req, &statuses[i])
			return nil
		})
	}
	_ = group.Wait() // ask records failures in the status
	return statuses
}

func (a *API) ask(ctx context.Context, addr string, req *innerproto.StatusRequest, status *DaemonStatus) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := a.cfg.Dial(addr).Status(ctx, req)
	if err != nil {
		status.Error = err.Error()
		return
	}
	status.answer = answer
	status.SettingsVersion = answer.SettingsVersion
}
