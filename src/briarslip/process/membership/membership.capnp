@0xb0c4d2a1f7e63958;
# Membership messages between daemons. Texts are written once and referred to by
# index. The first indexes are of texts that are not written out: in datagrams the
# zone and region of the sender and receiver, in control messages the empty text.
# The texts in `names` follow.

struct Endpoint {
  service @0 :UInt16;
  version @1 :UInt16;
  slots @2 :UInt16;
  connections @3 :UInt16;
  draining @4 :Bool;
  incarnation @5 :UInt64;     # start of the server; 0: unknown
  stateSequence @6 :UInt64;   # number of its report by which `draining` changed
}

# An update about one member. `ipv6` is empty for IPv4 addresses.
struct Statement {
  incarnation @0 :UInt64;
  ipv4 @1 :UInt32;
  port @2 :UInt16;
  status @3 :UInt8;
  runningVersion @4 :UInt64;
  availabilityZone @5 :UInt16;
  region @6 :UInt16;
  ipv6 @7 :Data;
  endpoints @8 :List(Endpoint);
  runningVersionHigh @9 :UInt64; # bits of the version from 64 on; 0 for most
}

struct PeerAddress {
  ipv4 @0 :UInt32;
  port @1 :UInt16;
  ipv6 @2 :Data;
}

# `zoneTag` is the CRC-32 of zone and region, `kind` the number of a DatagramKind.
struct Datagram {
  zoneTag @0 :UInt32;
  sequence @1 :UInt32;
  runningVersion @2 :UInt64;
  kind @3 :UInt8;
  target @4 :PeerAddress;
  names @5 :List(Text);
  statements @6 :List(Statement);
  runningVersionHigh @7 :UInt64;
}

# `age` is in seconds.
struct ZoneSummary {
  availabilityZone @0 :Text;
  checksum @1 :UInt64;
  age @2 :UInt32;
}

struct SyncRequest {
  runningVersion @0 :UInt64;
  wantsTable @1 :Bool;
  summaries @2 :List(ZoneSummary);
  runningVersionHigh @3 :UInt64;
}

# A backend server that drains: its start, and its report by which it began to.
struct DrainingServer {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
}

struct SyncReply {
  runningVersion @0 :UInt64;
  minimumVersion @1 :UInt64;
  busy @2 :Bool;
  more @3 :Bool;
  availabilityZone @4 :Text;
  peers @5 :List(PeerAddress);
  drainingServers @6 :List(DrainingServer); # at the requester's address
  runningVersionHigh @7 :UInt64;
  minimumVersionHigh @8 :UInt64;
}

# In a request the only statement is about the sender.
struct Control {
  names @0 :List(Text);
  statements @1 :List(Statement);
  union {
    request @2 :SyncRequest;
    reply @3 :SyncReply;
    updates @4 :Void;
  }
}
