package heartbeater

import (
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/member"
)

func memberFromHello(hello *wire.Hello) member.Member {
	return member.Member{
		ID:               hello.GetHostId(),
		Incarnation:      hello.GetIncarnation(),
		Region:           hello.GetRegion(),
		AvailabilityZone: hello.GetAvailabilityZone(),
		PeerAddress:      hello.GetPeerAddress(),
		AdminAddress:     hello.GetAdminAddress(),
	}
}

func hostFromMember(m member.Member) host.Host {
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

func hostFromWire(m *wire.Member) host.Host {
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

func memberToWire(m member.Member) *wire.Member {
	return &wire.Member{
		HostId:           m.ID,
		PeerAddress:      m.PeerAddress,
		Region:           m.Region,
		AvailabilityZone: m.AvailabilityZone,
		AdminAddress:     m.AdminAddress,
	}
}
