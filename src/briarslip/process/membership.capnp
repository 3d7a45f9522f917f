@0xb0c4d2a1f7e63958;
# Membership messages between daemons.

enum Status {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct Endpoint {
  service @0 :Text;
  version @1 :Text;
  slots @2 :UInt16;
  connections @3 :UInt16;
  draining @4 :Bool;
}

struct Member {
  host @0 :Text;
  port @1 :UInt16;
  availabilityZone @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
  status @5 :Status;
  runningVersion @6 :UInt64;
  endpoints @7 :List(Endpoint);
}

struct Heartbeat {
  members @0 :List(Member);
}
