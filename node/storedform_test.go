package node

import (
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/workload"
)

// Nodes of two builds must be able to decode each other's messages.
func TestStoredFormOfMessages(t *testing.T) {
	stored := golden.Get(t, "submit_request.bin")
	var message innerproto.SubmitRequest
	assert.NilError(t, proto.Unmarshal(stored, &message))
	assert.Equal(t, len(message.ProtoReflect().GetUnknown()), 0)
	assert.Equal(t, message.GetCell(), "c1")
	assert.Assert(t, message.GetForce())
	var job workload.Job
	assert.NilError(t, json.Unmarshal(message.GetJob(), &job))
	var err error
	message.Job, err = json.Marshal(job)
	assert.NilError(t, err)
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(&message)
	assert.NilError(t, err)
	assert.DeepEqual(t, encoded, stored)
}
