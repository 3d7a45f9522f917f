@0xd7a4c2e8f1936b57;
# Messages between daemons on crashes of backend servers and on the requests that were
# under way.

struct Fingerprint {
  head @0 :Data;              # digest of service, route, method, target, credentials
  body @1 :Data;              # digest of the body
}

struct CrashId {
  reporter @0 :Text;          # IP:PORT of the daemon beside the server
  startedMs @1 :UInt64;       # start of that daemon, since 1970
  number @2 :UInt32;          # of its reports
}

struct Suspect {
  fingerprint @0 :Fingerprint;
  isolated @1 :Bool;          # it was a suspect before, the only one at the server
}

struct Crash {
  id @0 :CrashId;
  service @1 :Text;
  version @2 :Text;
  suspects @3 :List(Suspect);
  ageMs @4 :UInt32;           # time since the crash
}

# A request that a server of a version has run to its end since a crash.
struct Clearance {
  fingerprint @0 :Fingerprint;
  crash @1 :CrashId;
  version @2 :Text;
}

struct State {
  whole @0 :Bool;             # everything that the sender knows
  crashes @1 :List(Crash);
  clearances @2 :List(Clearance);
}

struct Message {
  union {
    digest @0 :Data;          # of everything that the sender knows
    state @1 :State;
  }
}
