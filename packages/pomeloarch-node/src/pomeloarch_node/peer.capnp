# Frames between nodes. Each is sent packed, after its length.
@0xc3a7f1d05b2e9a64;

# What one node reports about the state of another.
struct Rumour {
  node @0 :Text;
  availabilityZone @1 :Text;
  address @2 :Text;
  state @3 :UInt8;
  incarnation @4 :UInt64;
}

# The digest of one topic of one node.
struct Entry {
  node @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  after @3 :UInt64;
  topic @4 :Text;
  payload @5 :Data;
}

# Up to which version the sender knows the digests of a node.
struct Mark {
  node @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
}

struct Probe {
  sequence @0 :UInt64;
  target @1 :Text;
  marks @2 :List(Mark);
}

struct Ack {
  sequence @0 :UInt64;
  target @1 :Text;
  entries @2 :List(Entry);
  wanted @3 :List(Mark);
}

struct ProbeRequest {
  sequence @0 :UInt64;
  target @1 :Text;
}

struct Entries {
  entries @0 :List(Entry);
}

struct TopicMessage {
  topic @0 :Text;
  payload @1 :Data;
}

struct Frame {
  sender @0 :Text;
  availabilityZone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  rumours @4 :List(Rumour);
  body :union {
    probe @5 :Probe;
    ack @6 :Ack;
    probeRequest @7 :ProbeRequest;
    entries @8 :Entries;
    message @9 :TopicMessage;
    rumoursOnly @10 :Void;
  }
}
