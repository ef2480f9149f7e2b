//! Log lines when nobody reads them.

use bluebellreel_telemetry::start_json_logging;
use log::info;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Output that blocks until it is let go.
struct Blocked {
    go: Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.open {
            self.open = self.go.recv().is_ok();
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

/// Whoever collects the logs stops reading. A daemon that waited for its
/// output would stop serving; lines are dropped instead, and counted.
#[test]
fn a_reader_that_stops_holds_nobody_up() {
    let (go, blocked): (Sender<()>, Receiver<()>) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let out = Blocked {
        go: blocked,
        open: false,
        written: written.clone(),
    };
    let log = start_json_logging(log::LevelFilter::Info, &["online"], out).expect("the first");
    for n in 0..10_000 {
        info!(target: "online", request = "r1", n, late = true; "sent");
    }
    // All of them returned while nothing could be written.
    assert!(log.dropped.count() > 5_000, "{}", log.dropped.count());
    assert!(written.lock().expect("not poisoned").is_empty());
    // Nor does the end of the process wait for ever.
    assert!(!log.flush(Instant::now() + Duration::from_millis(20)));

    go.send(()).expect("it is waiting");
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

    // With a reader, the last lines are written before the process may end.
    info!(target: "online", "stopped");
    assert!(log.flush(Instant::now() + Duration::from_mins(1)));
    let bytes = written.lock().expect("not poisoned").clone();
    let text = String::from_utf8(bytes).expect("UTF-8");
    let last = text.lines().last().expect("a line");
    assert!(last.contains("\"stopped\""), "{last}");
}
