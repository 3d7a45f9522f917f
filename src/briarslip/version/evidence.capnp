@0xb8d1f6c3a7e2954d;
# Messages on rollouts between daemons: evidence, decisions and their digest.

struct Entry {
  version @0 :Text;
  route @1 :Text;
  calls @2 :UInt32;           # that the servers ran
  failures @3 :UInt32;
  firstBucket @4 :UInt8;      # histogram bucket of the first latency count
  latencies @5 :List(UInt32); # counts up to the last non-empty bucket
  rejections @6 :UInt32;      # calls that the servers did not run
}

struct Report {
  reporter @0 :Text;          # IP:PORT of the daemon whose servers were counted
  availabilityZone @1 :Text;
  service @2 :Text;
  incarnation @3 :UInt64;
  timeSlice @4 :UInt64;       # number of the slice since 1970
  entries @5 :List(Entry);
}

struct Rollout {
  name @0 :Text;
  digest @1 :Text;
}

struct Decision {
  rollout @0 :Rollout;
  service @1 :Text;
  version @2 :Text;
  route @3 :Text;
  figure @4 :Text;
  newValue @5 :Float64;
  oldValue @6 :Float64;
  decidedMs @7 :UInt64;       # since 1970
  availabilityZone @8 :Text;
  afterDone @9 :Bool;
}

# A time that belongs to a rollout.
struct Moment {
  rollout @0 :Rollout;
  atMs @1 :UInt64;            # since 1970
}

# The agreed deadline of an ordered rollout.
struct Deadline {
  order @0 :Text;             # key of the order in the store
  atUs @1 :UInt64;            # since 1970
}

struct State {
  whole @0 :Bool;             # the full state of a synchronized daemon
  decisions @1 :List(Decision);
  started @2 :List(Moment);
  heldUntil @3 :List(Moment);
  deadlines @4 :List(Deadline);
}

struct Message {
  union {
    reports @0 :List(Report);
    digest @1 :Data;
    state @2 :State;
  }
}
