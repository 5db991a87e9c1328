# What entry VMs tell each other: a beat by datagram, and rows of the shared
# store for a VM that can't read them itself.
@0xd3a1f60f7a51c2be;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mustardspoke::inner");

struct Load {
  upstream @0 :UInt64;   # hash of the upstream's identifier
  busyTenths @1 :UInt16; # requests at the upstream, in tenths
}

struct Share {
  service @0 :UInt64;    # hash of the service's name
  local @1 :Float32;     # share of its keys that the sender's region serves
  busy @2 :Float32;      # busy part of the slots in the sender's region
}

struct Beat {
  vm @0 :Text;
  incarnation @1 :UInt64;
  region @2 :Text;
  domain @3 :Text;
  callerAddress @4 :Text;
  peerAddress @5 :Text;
  ready @6 :Bool;
  leaving @7 :Bool;
  routesVersion @8 :UInt64;
  capacity @9 :Float64;
  loads @10 :List(Load);
  # Peer addresses of other VMs, for one that knows nobody.
  others @11 :List(Text);
  shares @12 :List(Share);
  # The sender reads the shared store itself; version up to which it has
  # everything of each table.
  reading @13 :Bool;
  reach @14 :List(UInt64);
  lagMicros @15 :UInt32; # mean lateness of the sender's timers
  # How long ago other VMs were heard: 20 bits of the name's hash, 4 of the
  # incarnation, 8 of the age in tenths of a second.
  ages @16 :List(UInt32);
}

# Asks for the rows of each table that changed after a version; the answer is
# Rows. An empty list asks for all rows.
struct RowsQuestion {
  after @0 :List(UInt64);
}

struct Row {
  table @0 :Text;
  key @1 :Text;
  value @2 :Data;
  version @3 :UInt64;
  removed @4 :Bool;
  # Removed while the store came back; the row may appear again soon.
  doubtful @5 :Bool;
}

struct Rows {
  rows @0 :List(Row);
  # Version up to which the sender has everything of each table.
  reach @1 :List(UInt64);
  # All rows are here: what is missing up to the reach is gone.
  whole @2 :Bool;
}
