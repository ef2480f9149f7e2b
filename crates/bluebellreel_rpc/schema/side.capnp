@0xb7d2c95a0e6f4a11;
# Messages between an entry daemon and a side process.

struct Attempt {
  request @0 :UInt64;
  number @1 :UInt32;
}

struct Work {
  union {
    chat @0 :Void;
    call :group {
      method @1 :Text;
      path @2 :Text;
    }
  }
  model @3 :Text;
  body @4 :Data;
  tokens @5 :UInt32;
  prefix @6 :UInt64;
  repeatable @7 :Bool;
  key @8 :Text;
  team @9 :Text;
}

struct Dispatch {
  attempt @0 :Attempt;
  side @1 :UInt64;
  batch @2 :Bool;
  work @3 :Work;
  deadline @4 :UInt64;
  resume @5 :Text;
  traceparent @6 :Text;
}

struct Load {
  online @0 :UInt32;
  batch @1 :UInt32;
  onlineTokens @2 :UInt64;
  firstTokenMicros @3 :UInt64;
  leaving @4 :Bool;
  models @5 :List(Text);
  loaded @6 :List(Loaded);
}

struct End {
  union {
    completed :group {
      status @0 :UInt16;
      body @1 :Data;
      tokens @2 :UInt32;
    }
    notRun @3 :Text;
    broken :group {
      reason @4 :Text;
      partial @5 :Text;
    }
    rejected :group {
      status @6 :UInt16;
      message @7 :Text;
    }
  }
}

struct Loaded {
  name @0 :Text;
  version @1 :Text;
}

struct Report {
  attempt @0 :Attempt;
  end @1 :End;
}

struct Hello {
  worker @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  models @3 :List(Text);
}

interface Sink {
  # Receives the parts of one online answer, in order.
  write @0 (text :Text) -> stream;
  end @1 (end :End, load :Load) -> ();
}

interface BatchFeed {
  # Batch work that an entry owns, pulled by sides with room.
  pull @0 (worker :Text, room :UInt32) -> (items :List(Dispatch));
  report @1 (reports :List(Report)) -> ();
}

interface Side {
  hello @0 (entry :Text, feed :BatchFeed) -> (hello :Hello);
  submit @1 (dispatch :Dispatch, sink :Sink) -> ();
  cancel @2 (attempt :Attempt) -> (neverSeen :Bool, running :Bool, ended :End);
  offer @3 (waiting :UInt32) -> ();
  load @4 () -> (load :Load);
  withdraw @5 (attempts :List(Attempt)) -> ();
  configure @6 (generation :UInt64, manifest :Text) -> (applied :UInt64);
  drain @7 () -> ();
  order @8 (fence :UInt64, name :Text, version :Text) -> (loaded :Bool);
  fence @9 (fence :UInt64) -> ();
}
