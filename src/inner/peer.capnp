@0xd3a1c7f09b25e684;
# RPC protocol between the entry processes of different entry VMs: membership
# gossip, bundle distribution and handover of tickets.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mustardspoke::wire");

struct VmIncarnation {
  vm @0 :Text;
  incarnation @1 :UInt64;
}

enum State {
  starting @0;
  live @1;
  leaving @2;
  left @3;
}

struct Member {
  vmIncarnation @0 :VmIncarnation;
  clockSeconds @1 :UInt64;     # seconds of the VM's own monotonic clock
  heartbeatCounter @2 :UInt64;
  state @3 :State;
  callerAddress @4 :Text;
  peerAddress @5 :Text;
  region @6 :Text;
  failureDomain @7 :Text;
  bundleVersion @8 :UInt64;
  serviceSlots @9 :List(UInt32);      # usable slots, in the order of the services
  drainingUpstreams @10 :List(Text);  # upstreams that this VM itself saw draining
  successor @11 :VmIncarnation;
}

enum TicketState {
  running @0;
  done @1;
  notRun @2;
  unknown @3;
}

struct Ticket {
  idHigh @0 :UInt64;
  idLow @1 :UInt64;
  owner @2 :VmIncarnation;
  issuedAt @3 :UInt64;        # seconds of the owner's monotonic clock
  state @4 :TicketState;
  answerComplete @5 :Bool;
  answerStatus @6 :UInt16;
  answerContentType @7 :Text;
  answerBody @8 :Data;
}

struct OwnedIncarnation {
  vmIncarnation @0 :VmIncarnation;
  clockSeconds @1 :UInt64;    # monotonic clock of that incarnation
}

interface Peer {
  gossip @0 (members :List(Member))
      -> (members :List(Member), bundleVersion :UInt64,
          confirmed :Bool, confirmAgeMicros :UInt64);
  # Exchanges membership heartbeats. If `confirmed` is set, `confirmAgeMicros` is
  # the time since the receiver last learned that its bundle version is the
  # newest.

  bundle @1 (atLeast :UInt64) -> (found :Bool, document :Text);
  # Returns the document of the bundle in force if its version is at least
  # `atLeast`.

  takeOver @2 (incarnations :List(OwnedIncarnation), tickets :List(Ticket)) -> ();
  # Transfers the tickets of a leaving VM, in batches. The last batch names the
  # incarnations whose tickets the receiver now owns. The sender has stopped
  # answering for these tickets.
}
