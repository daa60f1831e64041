package peer_test

import (
	"testing"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
)

// BenchmarkCall measures a call with a body of 512 bytes between two endpoints in one
// process.
func BenchmarkCall(b *testing.B) {
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	open := func(host string) *peer.Endpoint {
		pair, err := authority.Issue(identity.Node{Host: host, Zone: "z"}, nil, time.Now(), time.Hour)
		if err != nil {
			b.Fatal(err)
		}
		config, err := identity.TLSConfig(authority.PEM().Certificate, pair, peer.ALPNProtocol)
		if err != nil {
			b.Fatal(err)
		}
		e, err := peer.Listen("127.0.0.1:0", config)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = e.Close() })
		return e
	}
	client, server := open("near"), open("far")
	server.Handle(kindEcho, echo)
	body := make([]byte, 512)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Call(b.Context(), server.Address(), kindEcho, body); err != nil {
			b.Fatal(err)
		}
	}
}
