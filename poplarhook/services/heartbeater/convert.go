package heartbeater

import (
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/member"
)

func memberOf(greeting *wire.Hello) member.Member {
	return member.Member{
		ID:               greeting.GetHostId(),
		Incarnation:      greeting.GetIncarnation(),
		Region:           greeting.GetRegion(),
		AvailabilityZone: greeting.GetAvailabilityZone(),
		PeerAddress:      greeting.GetPeerAddress(),
		AdminAddress:     greeting.GetAdminAddress(),
	}
}

func hostOf(m member.Member) host.Host {
	return host.Host{
		ID:               m.ID,
		Role:             host.RoleEntry,
		Region:           m.Region,
		AvailabilityZone: m.AvailabilityZone,
		PeerAddress:      m.PeerAddress,
		AdminAddress:     m.AdminAddress,
		State:            host.StateLive,
	}
}

func namedHost(m *wire.Member) host.Host {
	return host.Host{
		ID:               m.GetHostId(),
		Role:             host.RoleEntry,
		Region:           m.GetRegion(),
		AvailabilityZone: m.GetAvailabilityZone(),
		PeerAddress:      m.GetPeerAddress(),
		AdminAddress:     m.GetAdminAddress(),
		State:            host.StateLive,
	}
}

func wireMember(m member.Member) *wire.Member {
	return &wire.Member{
		HostId:           m.ID,
		PeerAddress:      m.PeerAddress,
		Region:           m.Region,
		AvailabilityZone: m.AvailabilityZone,
		AdminAddress:     m.AdminAddress,
	}
}
