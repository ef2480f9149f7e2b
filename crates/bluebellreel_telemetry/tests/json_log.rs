//! JSON logging when the reader of the output stops reading.

use bluebellreel_telemetry::start_json_logging;
use log::info;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Output that blocks until it is unblocked through a channel.
struct Blocked {
    unblock: Receiver<()>,
    is_unblocked: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_unblocked {
            self.is_unblocked = self.unblock.recv().is_ok();
        }
        self.written
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The log collector stops reading. A daemon that waits for its output would stop
/// serving. Instead, lines must be dropped and counted.
#[test]
fn a_blocked_reader_does_not_block_logging() {
    let (unblock, unblocked): (Sender<()>, Receiver<()>) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let out = Blocked {
        unblock: unblocked,
        is_unblocked: false,
        written: written.clone(),
    };
    let log = start_json_logging(log::LevelFilter::Info, &["online"], out).expect("the first");
    for n in 0..10_000 {
        info!(target: "online", request = "r1", n, late = true; "sent");
    }
    // All calls returned although nothing could be written.
    assert!(log.dropped.count() > 5_000, "{}", log.dropped.count());
    assert!(written.lock().expect("not poisoned").is_empty());
    // A flush at the end of the process returns at its deadline.
    assert!(!log.flush(Instant::now() + Duration::from_millis(20)));

    unblock.send(()).expect("it is waiting");
    let until = Instant::now() + Duration::from_mins(1);
    let text = loop {
        let text = String::from_utf8(written.lock().expect("not poisoned").clone());
        let text = text.expect("UTF-8");
        if text.contains("lines dropped") {
            break text;
        }
        assert!(Instant::now() < until, "the count was never written");
        std::thread::sleep(Duration::from_millis(10));
    };
    let first: serde_json::Value =
        serde_json::from_str(text.lines().next().expect("a line")).expect("JSON");
    assert_eq!(first["event"], "sent");
    assert_eq!((&first["request"], &first["n"]), (&"r1".into(), &0.into()));
    assert_eq!(first["late"], true);
    assert_eq!(first["part"], "online");

    // With a reader, a flush returns once the last lines are written.
    info!(target: "online", "stopped");
    assert!(log.flush(Instant::now() + Duration::from_mins(1)));
    let bytes = written.lock().expect("not poisoned").clone();
    let text = String::from_utf8(bytes).expect("UTF-8");
    let last = text.lines().last().expect("a line");
    assert!(last.contains("\"stopped\""), "{last}");
}
