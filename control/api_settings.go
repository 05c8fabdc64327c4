package control

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/settings"
)

// historyLimit is the number of versions in a history response.
const historyLimit = 100

// TreeRequest is the body of a request to check or apply a settings tree.
type TreeRequest struct {
	// Parent is the version on which the tree is based.
	Parent  int64            `json:"parent"`
	Levels  settings.Sources `json:"levels"`
	Author  string           `json:"author"`
	Comment string           `json:"comment"`
}

// TreeResponse is a settings tree with its version.
type TreeResponse struct {
	Head   Head             `json:"head"`
	Levels settings.Sources `json:"levels"`
}

// StatusResponse lists the newest accepted settings version and the active version of each daemon.
type StatusResponse struct {
	Version int64          `json:"version"`
	Daemons []DaemonStatus `json:"daemons"`
}

func newStrictDecoder(body io.Reader) *json.Decoder {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	return decoder
}

func (a *API) getSettings(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	head, _, err := a.cfg.Store.Head(ctx)
	if err != nil {
		return a.writeError(c, err)
	}
	levels, err := a.cfg.Store.Sources(ctx, head)
	if err != nil {
		return a.writeError(c, err)
	}
	return c.JSON(http.StatusOK, TreeResponse{Head: head, Levels: levels})
}

func (a *API) checkSettings(c echo.Context) error {
	var req TreeRequest
	if err := bind(c, &req); err != nil {
		return a.writeError(c, err)
	}
	if _, err := settings.Parse(req.Levels); err != nil {
		return a.writeError(c, err)
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (a *API) applySettings(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	var req TreeRequest
	if err := bind(c, &req); err != nil {
		return a.writeError(c, err)
	}
	version, err := a.cfg.Store.Apply(ctx, req.Parent, req.Levels, req.Author, req.Comment)
	if err != nil {
		return a.writeError(c, err)
	}
	a.cfg.Log.WithField("version", version).WithField("author", req.Author).Info("settings version accepted")
	return c.JSON(http.StatusOK, Head{Version: version, Author: req.Author, Comment: req.Comment})
}

func (a *API) settingsHistory(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	heads, err := a.cfg.Store.History(ctx, historyLimit)
	if err != nil {
		return a.writeError(c, err)
	}
	return c.JSON(http.StatusOK, heads)
}

// explainSetting uses the newest tree in the store, which may be newer than the version active on this VM.
func (a *API) explainSetting(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	head, _, err := a.cfg.Store.Head(ctx)
	if err != nil {
		return a.writeError(c, err)
	}
	tree, err := a.cfg.Store.treeOf(ctx, head)
	if err != nil {
		return a.writeError(c, err)
	}
	path, key := c.QueryParam("path"), c.QueryParam("key")
	if path == "" || key == "" {
		return a.writeError(c, errors.NewNotValid(nil, "the request must have path and key"))
	}
	explanation, err := tree.Explain(path, key)
	if err != nil {
		return a.writeError(c, err)
	}
	return c.JSON(http.StatusOK, explanation)
}

func (a *API) settingsStatus(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	head, _, err := a.cfg.Store.Head(ctx)
	if err != nil {
		return a.writeError(c, err)
	}
	c.Response().Header().Set("Currantthread-Settings-Version", strconv.FormatInt(head.Version, 10))
	return c.JSON(http.StatusOK, StatusResponse{Version: head.Version, Daemons: a.fetchStatuses(ctx, "", &innerproto.StatusRequest{})})
}
