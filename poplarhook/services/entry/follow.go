package entry

import (
	"context"
	"time"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
)

const followPause = 200 * time.Millisecond

// follow applies each newer configuration that the store accepts.
func (e *Entry) follow(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var version int64
		assemble := assembler.New(e.store)
		for ctx.Err() == nil {
			found, err := e.store.Watch(ctx, index.Key, version, e.settings.WatchWait)
			if err == nil {
				version = found.Version
				err = e.adopt(ctx, assemble, found)
			}
			if err != nil {
				pause(ctx, followPause)
			}
		}
		done <- nil
	}()
	return done
}

func (e *Entry) adopt(ctx context.Context, assemble *assembler.Assembler, found object.Object) error {
	decoded, err := assembler.Decode(found)
	if err != nil {
		return err
	}
	s, err := assemble.Assemble(ctx, decoded)
	if err != nil {
		return err
	}
	assemble.Applied(s.Revision)
	e.setSnapshot(s)
	return nil
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
