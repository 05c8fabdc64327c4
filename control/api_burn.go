package control

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/slo"
)

// burnReport sums the SLO counts of all entry daemons and lists the VMs whose counts could not be read.
func (a *API) burnReport(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	var exports []slo.Export
	var unreachable []string
	for _, status := range a.fetchStatuses(ctx, "", &innerproto.StatusRequest{SloCounts: true}) {
		if status.Daemon != "entry" {
			continue
		}
		var export slo.Export
		if status.response == nil || json.Unmarshal(status.response.SloCounts, &export) != nil {
			unreachable = append(unreachable, status.VM)
			continue
		}
		exports = append(exports, export)
	}
	return c.JSON(http.StatusOK, slo.NewReport(time.Now(), slo.Merge(exports...), unreachable))
}
