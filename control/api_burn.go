package control

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/slo"
)

// burnReport adds the counts of all entry daemons up and names those that did not answer.
func (a *API) burnReport(c echo.Context) error {
	ctx, cancel := a.timeout(c)
	defer cancel()
	var exports []slo.Export
	var unreachable []string
	for _, status := range a.askAll(ctx, "", &innerproto.StatusRequest{SloCounts: true}) {
		if status.Daemon != "entry" {
			continue
		}
		var export slo.Export
		if status.answer == nil || json.Unmarshal(status.answer.SloCounts, &export) != nil {
			unreachable = append(unreachable, status.VM)
			continue
		}
		exports = append(exports, export)
	}
	return c.JSON(http.StatusOK, slo.NewReport(time.Now(), slo.Merge(exports...), unreachable))
}
