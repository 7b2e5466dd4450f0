package exchange

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestturn/goldcrestturn/internal/summary"
)

// capacityService answers like an entry, but makes no decisions.
type capacityService struct{}

func (s *capacityService) Report(a ReportArgs, reply *ReportReply) error {
	_, err := a.Model()
	*reply = ReportReply{Mean: Mean{PerEndpoint: 51_234.5, Endpoints: 85, AgeMS: 1800}, News: News{ConfigOffset: 123_456}}
	return err
}

func (s *capacityService) Groups(a GroupsArgs, reply *GroupsReply) error {
	_, err := a.Model()
	*reply = GroupsReply{Mean: Mean{PerEndpoint: 51_234.5, Endpoints: 85, AgeMS: 1800}, News: News{ConfigOffset: 123_456}}
	return err
}

func (s *capacityService) Borrow(a BorrowArgs, reply *BorrowReply) error {
	for range a.Wishes {
		reply.Grants = append(reply.Grants, Grant{Units: 1500})
	}
	return a.Check()
}

func (s *capacityService) Crash(a CrashArgs, _ *Ack) error {
	_, err := a.Crash.Model(time.Now())
	return err
}

// benchmarkCall reports the bytes on the wire and the processor time of one call
// for both ends together.
func benchmarkCall[R any](b *testing.B, method string, args any) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	pipes := NewPipeNet("a", "b")
	client, server := New(Config{Key: "k", Dial: pipes.Dialer("a")}), New(Config{Key: "k"})
	if err := server.Register(Service, &capacityService{}); err != nil {
		b.Fatal(err)
	}
	go client.Run(ctx)
	go func() { _ = server.Serve(ctx, pipes.Listen("b")) }()
	if _, err := Call[R](ctx, client, "b", method, args); err != nil {
		b.Fatal(err)
	}
	before := client.Meter().Usage()
	b.ResetTimer()
	for range b.N {
		if _, err := Call[R](ctx, client, "b", method, args); err != nil {
			b.Fatal(err)
		}
	}
	used := client.Meter().Usage()
	b.ReportMetric(float64(used.Total()-before.Total())/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(used.In+used.Out-before.In-before.Out)/float64(b.N), "payload-B/op")
}

func BenchmarkCapacityReport(b *testing.B) {
	args := FromReport(summary.Report{Endpoint: "engine-0123", Key: summary.Key{Pool: "chat-large", Region: "ph-luzon"}, Group: 6, Load: 48_000, Running: 12})
	benchmarkCall[ReportReply](b, MethodReport, args)
}

func BenchmarkCapacityGroupReport(b *testing.B) {
	for _, groups := range []int{1, 3} {
		b.Run(fmt.Sprint("groups=", groups), func(b *testing.B) {
			var sums []summary.GroupSum
			for g := range groups {
				sums = append(sums, summary.GroupSum{Group: g, Sum: summary.Sum{Load: 576_000, Endpoints: 12, Age: time.Second}})
			}
			benchmarkCall[GroupsReply](b, MethodGroups, FromSums(summary.Key{Pool: "chat-large", Region: "ph-luzon"}, sums))
		})
	}
}

func BenchmarkCapacityBorrow(b *testing.B) {
	for _, workspaces := range []int{1, 8} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			args := BorrowArgs{}
			for i := range workspaces {
				args.Wishes = append(args.Wishes, Wish{Workspace: fmt.Sprint("workspace-", 10_000+i), Want: 1500, Need: 700})
			}
			benchmarkCall[BorrowReply](b, MethodBorrow, args)
		})
	}
}

func BenchmarkCapacityCrashNotice(b *testing.B) {
	args := CrashArgs{Pool: "chat-large", WaitMS: 600, Crash: Crash{ID: "engine-0123-1-18c2f3a4b5c", Endpoint: "engine-0123"}}
	for i := range 12 {
		args.Crash.Fingerprints = append(args.Crash.Fingerprints, 0x9e3779b97f4a7c15*uint64(i+1))
	}
	benchmarkCall[Ack](b, MethodCrash, args)
}
