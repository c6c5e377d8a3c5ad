// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// packBulk compresses targets and members. It returns nil if there are none. Targets have
// similar keys: 900 KB for 3,000 of them become some 100 KB.
func packBulk(targets, members []hookhall.Item) ([]byte, error) {
	if len(targets) == 0 && len(members) == 0 {
		return nil, nil
	}
	b := &pb.Bulk{}
	for _, i := range targets {
		b.Targets = append(b.Targets, &pb.TargetNews{Key: i.Key, Value: i.Value, Revision: uint64(i.Revision)})
	}
	for _, i := range members {
		b.Members = append(b.Members, &pb.MemberNews{Key: i.Key, Value: i.Value, Revision: uint64(i.Revision)})
	}
	value, err := proto.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "bulk")
	}
	return catalog.Pack(value)
}

// unpackBulk is the inverse of packBulk.
func unpackBulk(packed []byte) (targets, members []hookhall.Item, err error) {
	if len(packed) == 0 {
		return nil, nil, nil
	}
	value, err := catalog.Unpack(packed)
	if err != nil {
		return nil, nil, err
	}
	b := &pb.Bulk{}
	if err := proto.Unmarshal(value, b); err != nil {
		return nil, nil, errors.Wrap(err, "bulk")
	}
	for _, t := range b.GetTargets() {
		targets = append(targets, hookhall.Item{Key: t.GetKey(), Value: t.GetValue(), Revision: hookhall.Revision(t.GetRevision())})
	}
	for _, m := range b.GetMembers() {
		members = append(members, hookhall.Item{Key: m.GetKey(), Value: m.GetValue(), Revision: hookhall.Revision(m.GetRevision())})
	}
	return targets, members, nil
}
