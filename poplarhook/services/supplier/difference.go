package supplier

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/change"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/snapshotdiff"
	"poplarhook.example/poplarhook/models/frame"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/replica"
)

// configurationHook returns a hook that sends each newer configuration to the readers: its difference from the one
// before to readers that understand differences, and the whole configuration to others.
func configurationHook(s *Supplier) func(v view.View[snapshot.Snapshot]) {
	var base view.View[snapshot.Snapshot]
	return func(v view.View[snapshot.Snapshot]) {
		before := base
		base = v
		s.broadcaster.Send(func(understandsDifferences bool) (frame.Frame, bool) {
			if understandsDifferences {
				if f, ok := s.newDifference(before, v); ok {
					return f, true
				}
			}
			return newFrameFor(s, understandsDifferences, feedConfiguration, v)
		})
	}
}

// newDifference returns the frame of the difference between two consecutive views of the configuration, and whether it
// can be sent as a difference.
//
// After the store was restored from an older copy, a revision or a version no longer says which content a host has, so
// configurations are sent whole from then on.
func (s *Supplier) newDifference(before, after view.View[snapshot.Snapshot]) (frame.Frame, bool) {
	name, base, ok := onlyItem(before)
	if !ok || after.Revision <= after.Previous || s.wasRestored() {
		return frame.Frame{}, false
	}
	nextName, next, ok := onlyItem(after)
	if !ok || name != nextName {
		return frame.Frame{}, false
	}
	d, ok := snapshotdiff.New(base, next)
	if !ok {
		return frame.Frame{}, false
	}
	f, err := frame.NewDifference(feedConfiguration, d, after.Revision, before.Revision, after.Previous)
	if err != nil {
		s.logger.Error("encoding a difference for other hosts failed", zap.String("error", err.Error()))
	}
	return f, err == nil
}

// onlyItem returns the name and the value of the only item of a view, and whether there is exactly one.
func onlyItem(v view.View[snapshot.Snapshot]) (name string, item snapshot.Snapshot, ok bool) {
	for name, item = range v.Items {
		return name, item, len(v.Items) == 1
	}
	return "", snapshot.Snapshot{}, false
}

// putDifference applies the difference of a frame to the configuration. It returns replica.ErrBaseMismatch if the
// configuration is not the one from which the difference starts.
func (s *Supplier) putDifference(f frame.Frame, now time.Time) error {
	var d snapshotdiff.Difference
	if err := f.DecodeDifference(&d); err != nil {
		return err
	}
	return s.configuration.PutDifference(replica.Difference[snapshot.Snapshot]{
		Revision: f.Revision, From: f.From, Since: f.Since, ConfirmedAt: now,
		Apply: func(items map[string]snapshot.Snapshot) ([]change.Change[snapshot.Snapshot], error) {
			name, base, ok := onlyItem(view.View[snapshot.Snapshot]{Items: items})
			if !ok {
				return nil, replica.ErrBaseMismatch
			}
			next, err := d.Apply(base)
			if err != nil {
				return nil, errors.Wrap(replica.ErrBaseMismatch, err.Error())
			}
			return []change.Change[snapshot.Snapshot]{{Name: name, Value: next}}, nil
		},
	})
}
