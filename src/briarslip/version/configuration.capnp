@0xc7a1e0b2d3f49586;
# Configuration messages between daemons.

struct Offer {
  version @0 :UInt64;
}

struct Pull {
  running @0 :UInt64;
}

struct Message {
  union {
    offer @0 :Offer;
    pull @1 :Pull;
    snapshot @2 :Data;        # an encoded snapshot
  }
}
