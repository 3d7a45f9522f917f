@0xe1f3a9b7c5d2844b;
# Frames of a peer link between two daemons. Each frame is one message with a
# length prefix of 32 bits. Only the side that opened the link opens streams, and
# it numbers them.

enum Topic {
  configuration @0;
  membership @1;
  evidence @2;
  quarantine @3;
  quota @4;
}

struct Hello {
  peer @0 :Text;              # IP:PORT on which the sender listens for peers
  availabilityZone @1 :Text;
}

struct Request {
  stream @0 :UInt32;
  timeoutMs @1 :UInt32;       # time left until the deadline
  urgent @2 :Bool;
  idempotent @3 :Bool;
  last @4 :Bool;              # no body frame follows
  depth @5 :UInt8;            # number of calls that this one is nested in
  # Service, service version (empty: any), route, method and target, one per line:
  # reading a field costs more than splitting lines.
  lines @6 :Text;
  headers @7 :Data;           # header lines in HTTP wire form
  body @8 :Data;
  targetMs @9 :UInt32;        # time left until the latency target, plus 1; 0: none
  suspect @10 :Bool;          # it was under way when a backend server crashed
  organisation @11 :Text;     # name of the caller's organisation; empty: none
  mayMoveOn @12 :Bool;        # it goes to another server if it would have to queue
}

struct Response {
  stream @0 :UInt32;
  status @1 :UInt16;
  outcome @2 :Outcome;
  inFlight @3 :UInt16;        # requests at the backend server
  slots @4 :UInt16;
  headers @5 :Data;
  body @6 :Data;
  last @7 :Bool;              # no body frame follows
  serviceMicros @8 :UInt32;   # mean service time of the route; 0: unknown
  leavingIncarnation @9 :UInt64;  # of a backend server that is leaving; 0: it is not
}

enum Outcome {
  ran @0;
  notRun @1;
  unknown @2;
}

struct Body {                 # of the request or the response, by direction
  stream @0 :UInt32;
  data @1 :Data;
  last @2 :Bool;
}

struct Credit {
  stream @0 :UInt32;
  bytes @1 :UInt32;           # more response bytes that the server may send
}

struct Failure {
  stream @0 :UInt32;
  outcome @1 :Outcome;
  reason @2 :Text;
  inFlight @3 :UInt16;
  slots @4 :UInt16;
  retryAfterMs @5 :UInt32;    # 0: unknown
}

struct Control {
  topic @0 :Topic;
  payload @1 :Data;           # one message of the topic's schema
}

struct Frame {
  union {
    hello @0 :Hello;
    request @1 :Request;
    response @2 :Response;
    body @3 :Body;
    failure @4 :Failure;
    cancel @5 :UInt32;        # the cancelled stream
    control @6 :Control;
    ping @7 :UInt32;
    pong @8 :UInt32;
    credit @9 :Credit;
    goAway @10 :Void;         # the opener must open no more streams on this link
    withdraw @11 :UInt32;     # the stream to fail as not run, unless a server runs it
  }
}
