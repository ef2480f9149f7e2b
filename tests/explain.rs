//! `explain`: collects the log lines that concern one request.

use bluebellreel::cli::{LogLine, explain};

const ENTRY: &str = r#"
{"at":"2026-12-02T10:00:00.000Z","event":"worker no longer listed","part":"facts","worker":"w-9"}
{"at":"2026-12-02T10:00:03.000Z","event":"worker no longer listed","part":"facts","worker":"w-1"}
  3.2 entry-1 {"at":"2026-12-02T10:00:03.200Z","event":"sent","request":"r1","worker":"w-1","left_ms":5000}
{"at":"2026-12-02T10:00:03.300Z","event":"sent","request":"r2","worker":"w-1"}
{"at":"2026-12-02T10:00:03.400Z","event":"stream interrupted","request":"r1","worker":"w-1","reason":"worker silent"}
{"at":"2026-12-02T10:00:03.500Z","event":"store lost","part":"facts"}
{"at":"2026-12-02T10:00:03.600Z","event":"stream resumed","request":"r1","worker":"w-2"}
{"at":"2026-12-02T10:00:09.000Z","event":"store regained","part":"facts"}
cut off {"at":"2026-
"#;

fn lines(source: &str, text: &str) -> Vec<LogLine> {
    text.lines()
        .filter_map(|l| LogLine::read(source, l))
        .collect()
}

#[test]
fn explanation_lists_a_requests_lines_and_known_facts() {
    let story = explain("r1", &lines("entry-1", ENTRY));
    let events: Vec<&str> = story.lines().map(|l| &l[39..]).collect();
    assert_eq!(
        events,
        [
            "worker no longer listed  worker=w-1",
            "sent  left_ms=5000  request=r1  worker=w-1",
            "stream interrupted  reason=worker silent  request=r1  worker=w-1",
            "store lost",
            "stream resumed  request=r1  worker=w-2",
        ]
    );
    assert!(story.starts_with("10:00:03.000  entry-1"));
}

#[test]
fn other_processes_add_their_lines_in_time_order() {
    let mut all = lines("entry-1", ENTRY);
    let other = r#"{"at":"2026-12-02T10:00:03.250Z","event":"job owned","job":"r1"}"#;
    all.extend(lines("entry-2", other));
    let story = explain("r1", &all);
    let sources: Vec<&str> = story.lines().map(|l| l[14..22].trim()).collect();
    assert_eq!(sources[..3], ["entry-1", "entry-1", "entry-2"]);
    assert_eq!(explain("nobody", &all), "");
}

/// A process is killed between a request and its answer. Its log shows a request that was
/// sent and nothing afterwards, which suggests a fault of the worker. `explain` must name
/// the killed process instead.
#[test]
fn a_process_that_was_killed_is_named() {
    let killed = r#"
{"at":"2026-12-02T10:00:01.000Z","event":"sent","request":"r1","worker":"w-1"}
{"at":"2026-12-02T10:00:01.200Z","event":"served","request":"r2","worker":"w-1"}
{"at":"2026-12-02T10:00:04.000Z","event":"started","run":"b"}
{"at":"2026-12-02T10:00:09.000Z","event":"served","request":"r3"}
"#;
    let story = explain("r1", &lines("entry-1", killed));
    let last = story.lines().last().unwrap_or("");
    assert_eq!(
        last,
        "=> entry-1 ended without logging a stop and was restarted; its last line before that is from 10:00:01.200"
    );
    assert!(!explain("r2", &lines("entry-1", killed)).contains("=>"));

    let gone = killed.split("{\"at\":\"2026-12-02T10:00:04").next();
    let story = explain("r1", &lines("entry-1", gone.unwrap_or("")));
    assert!(story.contains("=> entry-1 logged nothing more"), "{story}");
}

/// An item runs after its job has ended. `explain` must show which process ended the job
/// and that the owner was not notified.
#[test]
fn explanation_of_an_item_shows_the_end_of_its_job() {
    let owner = r#"
{"at":"2026-12-02T10:00:01.000Z","event":"job owned","job":"j1","revision":7}
{"at":"2026-12-02T10:00:05.000Z","event":"item sent","job":"j1","request":"i1","worker":"w-1","confirmed_ms":4000}
{"at":"2026-12-02T10:00:05.000Z","event":"item sent","job":"j1","request":"i2","worker":"w-1"}
{"at":"2026-12-02T10:00:06.000Z","event":"item run ended","job":"j1","request":"i1"}
{"at":"2026-12-02T10:00:05.000Z","event":"job owned","job":"j2","revision":9}
"#;
    let other = r#"
{"at":"2026-12-02T10:00:02.000Z","event":"owner did not end its job","job":"j1"}
{"at":"2026-12-02T10:00:02.004Z","event":"job ended by its sender","job":"j1","revision":8}
"#;
    let mut all = lines("entry-1", owner);
    all.extend(lines("entry-2", other));
    let story = explain("i1", &all);
    let events: Vec<&str> = story.lines().map(|l| &l[39..]).collect();
    assert_eq!(
        events,
        [
            "job owned  job=j1  revision=7",
            "owner did not end its job  job=j1",
            "job ended by its sender  job=j1  revision=8",
            "item sent  confirmed_ms=4000  job=j1  request=i1  worker=w-1",
            "item run ended  job=j1  request=i1",
        ]
    );
}
