@0xc7a1e0b2d3f49586;
# Configuration messages between daemons. Snapshots and deltas are canonical
# JSON, compressed with zlib. A version has two words; those of its bits from 64 on are
# 0 for most.

struct Offer {
  version @0 :UInt64;
  versionHigh @1 :UInt64;
}

struct Pull {
  running @0 :UInt64;
  runningHigh @1 :UInt64;
}

struct Whole {
  digest @0 :Text;          # SHA-256 of the uncompressed snapshot, hexadecimal
  data @1 :Data;
}

struct Busy {
  retryAfterMs @0 :UInt32;
}

struct VersionReply {
  running @0 :UInt64;
  lastHeard @1 :UInt64;     # last version recorded for the querying address
  runningHigh @2 :UInt64;
  lastHeardHigh @3 :UInt64;
}

struct Message {
  union {
    offer @0 :Offer;
    pull @1 :Pull;
    whole @2 :Whole;
    deltas @3 :List(Data);  # each applies to the result of the one before it
    busy @4 :Busy;
    versionQuery @5 :Void;
    versionReply @6 :VersionReply;
  }
}
