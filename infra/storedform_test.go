package infra

import (
	"testing"

	"github.com/currantthread/currantthread/internal/storedform"
)

// Guards against builds that cannot read each other's messages. A field that is renamed without a tag for its old name is
// silently lost on decoding.
func TestStoredFormOfMessages(t *testing.T) {
	storedform.Check[PollRequest](t, "poll_request.json")
	storedform.Check[PollResponse](t, "poll_response.json")
	storedform.Check[AttachRequest](t, "attach_request.json")
	storedform.Check[AttachResponse](t, "attach_response.json")
	storedform.Check[Txn](t, "transaction.json")
	storedform.Check[RowsResponse](t, "rows.json")
	storedform.Check[VMsResponse](t, "vms.json")
}
