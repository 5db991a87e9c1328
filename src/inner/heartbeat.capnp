# Messages between entry VMs of the gateway: heartbeats, sent as datagrams, and
# rows of the shared store, relayed to VMs that can't read the store themselves.
@0xd3a1f60f7a51c2be;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mustardspoke::inner");

struct UpstreamLoad {
  upstreamHash @0 :UInt64;   # hash of the upstream's identifier
  inFlightTenths @1 :UInt16; # requests in flight there, in tenths of a request
}

struct ServiceShare {
  serviceHash @0 :UInt64;   # hash of the service's name
  localShare @1 :Float32;   # fraction of its keys that the sender's region serves
  utilization @2 :Float32;  # fraction of the slots in use in the sender's region
  # Fraction of the service's requests that the sender refuses for lack of room,
  # the least urgent first.
  refusedFraction @3 :Float32;
}

# Requests of a customer, for customers that are near their quotas.
struct CustomerLoad {
  customerHash @0 :UInt64;    # hash of the customer's name
  offeredPerSecond @1 :Float32;  # all that arrived, whether admitted or not
  admittedPerSecond @2 :Float32;
  # Number of VMs that the figures are the sum of.
  vms @3 :UInt16;
}

# Rate limit that an upstream stated in an answer.
struct UpstreamLimit {
  run @0 :UInt64;       # hash of its identifier and start time
  isNamed @1 :Bool;     # false: it stated that there is none any more
  perSecond @2 :Float32;
  ageMillis @3 :UInt32; # since the answered request was sent
}

# What the sender knows of a request under which upstreams ended.
struct CrashReport {
  request @0 :UInt64;           # hash of what makes two requests the same
  endedRuns @1 :List(UInt64);   # upstreams: hash of identifier and start time
  endAgeMillis @2 :List(UInt32);
  isAnswered @3 :Bool;          # whether answerAgeMillis is set
  answerAgeMillis @4 :UInt32;   # since an upstream last answered it
  isTried @5 :Bool;             # whether trialAgeMillis is set
  trialAgeMillis @6 :UInt32;    # since its newest trial
  trialStage @7 :UInt8;         # 0: it was never tried
  seenAgeMillis @8 :UInt32;     # since it last arrived at a VM
}

struct Heartbeat {
  vm @0 :Text;
  incarnation @1 :UInt64;
  region @2 :Text;
  failureDomain @3 :Text;
  callerAddress @4 :Text;
  peerAddress @5 :Text;
  ready @6 :Bool;
  leaving @7 :Bool;
  configVersion @8 :UInt64;  # of the configuration in force at the sender
  capacity @9 :Float64;
  upstreamLoads @10 :List(UpstreamLoad);
  # Peer addresses of other VMs, for a receiver that knows no other VM yet.
  knownPeerAddresses @11 :List(Text);
  serviceShares @12 :List(ServiceShare);
  # Whether the sender reads the shared store itself.
  readsStore @13 :Bool;
  # For each table: the version up to which the sender knows every row.
  syncedVersions @14 :List(UInt64);
  timerLagMicros @15 :UInt32;  # mean lateness of the sender's timers
  # Time since the last heartbeat of other VMs: 20 bits of the hash of the VM's
  # name, 4 bits of its incarnation, 8 bits of the age in tenths of a second.
  peerAges @16 :List(UInt32);
  # Time since VMs of the sender's region reached the shared store; encoded as
  # peerAges.
  readerAges @17 :List(UInt32);
  # Hash of the sender's name. A brief heartbeat has it instead of names and
  # addresses, for receivers that know this incarnation of the sender.
  vmHash @18 :UInt64;
  # Replaces upstreamLoads: 24 bits of the hash of the upstream's identifier, 8
  # bits of requests in flight there, in tenths of a request.
  compactLoads @19 :List(UInt32);
  # Hashes of identifier and start time of upstreams that lately announced their
  # end, and of those whose registrations the sender lately removed.
  announcedRuns @20 :List(UInt64);
  removedRuns @21 :List(UInt64);
  limits @22 :List(UpstreamLimit);
  crashes @23 :List(CrashReport);
  # Time since the sender was last in contact with any upstream; all ones if it
  # never was.
  contactAgeMillis @24 :UInt32 = 0xffffffff;
  # Condition of the sender's own links to the upstreams: 0 up, 1 new connections
  # lost, 2 lost; and whether it is trying to find out.
  links @25 :UInt8;
  doubtsLinks @26 :Bool;
  # Of the sender, to VMs of its region; of its whole region, to VMs of others.
  customerLoads @27 :List(CustomerLoad);
}

# Asks for the rows that changed after the given version of each table. An empty
# list asks for all rows. The reply is RelayedRows.
struct RowsRequest {
  afterVersions @0 :List(UInt64);
}

struct Row {
  table @0 :Text;
  key @1 :Text;
  value @2 :Data;
  version @3 :UInt64;
  removed @4 :Bool;
  # The row was removed while the store was recovering; it may reappear soon.
  tentative @5 :Bool;
}

struct RelayedRows {
  rows @0 :List(Row);
  # For each table: the version up to which the sender knows every row.
  syncedVersions @1 :List(UInt64);
  # The list is a full read: a row that isn't in it doesn't exist at the synced
  # version.
  fullRead @2 :Bool;
}
