@0xc3b98e51d7f2a604;
# Messages between daemons on the requests of organisations that have a limit.

struct Count {
  organisation @0 :Text;
  offered @1 :UInt32;         # requests since the last report
  admitted @2 :UInt32;        # those of them that passed
  share @3 :Float32;          # held by the zone; negative if unknown
  hasLevel @4 :Bool;
  level @5 :Float32;          # of the bucket, as last heard of
}

struct Report {
  group @0 :UInt8;
  toHome @1 :Bool;            # from a relay
  sequence @2 :UInt32;        # 0 in a probe, which counts nothing
  complete @3 :Bool;          # asks for all verdicts
  counts @4 :List(Count);
  last @5 :Bool;              # the sender has another home from now on
}

struct Verdict {
  organisation @0 :Text;
  mode @1 :UInt8;             # 0 far from the limit, 1 near, 2 limited
  level @2 :Float32;
  rate @3 :Float32;           # requests a second that the receiver may pass
  share @4 :Float32;          # of the receiver's zone; negative if none is given
}

struct Answer {
  group @0 :UInt8;
  fromHome @1 :Bool;
  acknowledged @2 :UInt32;
  needsAll @3 :Bool;
  complete @4 :Bool;          # organisations without a verdict are far
  verdicts @5 :List(Verdict);
}

struct Message {
  union {
    report @0 :Report;
    answer @1 :Answer;
  }
}
