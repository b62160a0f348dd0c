package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/external/transport"
	"github.com/chicorydale/chicorydale/platform"
)

// addPut adds the flags of the sub-command put, which writes one record to the platform's store.
func addPut(cmd *kingpin.CmdClause) action {
	store := cmd.Flag("store", "Address of the store.").Required().String()
	topic := cmd.Flag("topic", "Topic of the record.").Required().String()
	key := cmd.Flag("key", "Key of the record.").Required().String()
	file := cmd.Arg("file", "File with the value; without a file the key is removed.").String()
	return func(ctx context.Context, _ io.Writer) error {
		var value []byte
		if *file != "" {
			content, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			value = content
		}
		return putRecord(ctx, *store, *topic, *key, value)
	}
}

// putRecord writes a record with a key to a topic of the platform's store. An empty value removes the key.
func putRecord(ctx context.Context, store, topic, key string, value []byte) error {
	deadlineCtx, cancel := context.WithDeadline(ctx, time.Now().Add(clientTimeout))
	defer cancel()
	return platform.NewStore(store, transport.New()).Topic(topic).Put(deadlineCtx, key, value)
}
