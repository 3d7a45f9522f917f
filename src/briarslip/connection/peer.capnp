@0xe1f3a9b7c5d2844b;
# Frames of a peer link between two daemons. Each frame is one message, sent
# with its length before it. Streams are numbered by the side that opened the
# link, and only that side opens streams.

enum Topic {
  configuration @0;
  membership @1;
  evidence @2;
}

struct Hello {
  peer @0 :Text;              # IP:PORT on which the sender listens for peers
  availabilityZone @1 :Text;
}

struct Request {
  stream @0 :UInt32;
  timeoutMs @1 :UInt32;       # what is left of the deadline
  urgent @2 :Bool;
  idempotent @3 :Bool;
  depth @4 :UInt8;            # how many calls this one is nested in
  service @5 :Text;
  serviceVersion @6 :Text;    # empty: any version
  route @7 :Text;
  method @8 :Text;
  target @9 :Text;
  headers @10 :Data;          # header lines in HTTP wire form
  body @11 :Data;
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
}

enum Outcome {
  ran @0;
  notRun @1;
  unknown @2;
}

struct Body {
  stream @0 :UInt32;
  data @1 :Data;
  last @2 :Bool;
}

struct Failure {
  stream @0 :UInt32;
  outcome @1 :Outcome;
  reason @2 :Text;
  inFlight @3 :UInt16;
  slots @4 :UInt16;
}

struct Control {
  topic @0 :Topic;
  payload @1 :Data;           # one message of the topic's own schema
}

struct Frame {
  union {
    hello @0 :Hello;
    request @1 :Request;
    response @2 :Response;
    body @3 :Body;
    failure @4 :Failure;
    cancel @5 :UInt32;        # the stream whose answer is no longer wanted
    control @6 :Control;
    ping @7 :UInt32;
    pong @8 :UInt32;
  }
}
