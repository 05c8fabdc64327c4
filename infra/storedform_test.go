package infra

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
)

// Guards against nodes of two builds that do not read the rows of each other: a field that is renamed without its tag
// is lost without an error.
func TestStoredFormOfMessages(t *testing.T) {
	storedform.Check[PollRequest](t, "poll_request.json")
	storedform.Check[PollResponse](t, "poll_response.json")
	storedform.Check[AttachRequest](t, "attach_request.json")
	storedform.Check[AttachResponse](t, "attach_response.json")
	storedform.Check[Txn](t, "transaction.json")
	storedform.Check[RowsResponse](t, "rows.json")
	storedform.Check[VMsResponse](t, "vms.json")
}
