//! Invalid input at the entry daemon is refused with a clear error and does not affect
//! other callers.

use bluebellreel_site::{Site, SitePlan, TEAM_TOKEN, chat_line};
use bluebellreel_standins::expected_answer;
use std::io::{Read, Write};
use std::net::TcpStream;

fn site() -> Site {
    let plan = SitePlan {
        entries: 1,
        workers: 1,
        services: 0,
        entry_settings: "[limits]\nbody_bytes = 4096\nbody_s = 1\njob_items = 3\n".into(),
        ..SitePlan::default()
    };
    Site::start(&plan).expect("site")
}

fn raw(site: &Site, text: &str) -> TcpStream {
    let address = site.url(0).trim_start_matches("http://");
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.write_all(text.as_bytes()).expect("sent");
    stream
}

fn head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TEAM_TOKEN}\r\n\
         Idempotency-Key: k\r\nContent-Length: {length}\r\n\r\n"
    )
}

fn error_code(text: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(text).expect("JSON error");
    assert_eq!(body["error"]["ran"], "no", "{text}");
    body["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

#[test]
fn bad_requests_are_refused_with_a_clear_error() {
    let site = site();
    let caller = site.caller(0);
    let post = |path: &str, headers: &[(&str, &str)], body: &str| {
        let (status, text) = caller
            .send("POST", path, headers, body.as_bytes())
            .expect("an answer");
        (status, error_code(&text))
    };
    let chat = "/v1/chat/completions";
    assert_eq!(post(chat, &[], "{").0, 400);
    assert_eq!(
        post(chat, &[], &" ".repeat(5_000)),
        (413, "too_large".into())
    );
    let bad_key = [("Idempotency-Key", "a b")];
    assert_eq!(post(chat, &bad_key, "{}"), (400, "bad_key".into()));
    let bad_deadline = [("Bluebellreel-Deadline", "soon")];
    assert_eq!(
        post(chat, &bad_deadline, "{}"),
        (400, "bad_deadline".into())
    );
    assert_eq!(post("/v1/batches", &[], "{}"), (400, "key_needed".into()));
    let key = [("Idempotency-Key", "k")];
    let model = site.plan.deployment.model();
    let lines: Vec<String> = (0..4)
        .map(|n| chat_line(&format!("n{n}"), model, "x", 1))
        .collect();
    let many = lines.join("\n");
    assert_eq!(post("/v1/batches", &key, &many), (400, "bad_line".into()));
    assert_eq!(post("/nowhere", &[], ""), (404, "not_found".into()));
    let mut stranger = caller.clone();
    stranger.token = "nobody".into();
    let (status, _) = stranger
        .send("GET", "/v1/models", &[], b"")
        .expect("answer");
    assert_eq!(status, 401);
    let operators = site.operator(0).send("GET", "/v1/models", &[], b"");
    assert_eq!(operators.expect("answer").0, 403);
    let team = caller.send("GET", "/operator/v1/outcomes", &[], b"");
    assert_eq!(team.expect("answer").0, 403);
}

/// The upload of a job is truncated at the end of a line. A truncated job must not be
/// accepted as a complete one.
#[test]
fn truncated_job_is_not_accepted() {
    let site = site();
    let model = site.plan.deployment.model();
    // If a short body is truncated, the HTTP library closes the connection itself; only
    // a long one reaches the daemon.
    let prompt = "x".repeat(1_500);
    let line = format!("{}\n", chat_line("a", model, &prompt, 1));
    let text = head("/v1/batches", line.len() * 2) + &line;
    let mut stream = raw(&site, &text);
    stream.shutdown(std::net::Shutdown::Write).expect("shut");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("read");
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("cut_short"), "{answer}");
    let whole = [line.trim().to_owned()];
    let job = site.caller(0).submit("k", &whole).expect("accepted");
    assert_eq!(job.request_counts.total, 1);
}

/// Forty callers send the start of a body and then nothing, or a byte now and then. Other
/// callers must still be answered, and a body that trickles in must be refused with 408.
#[test]
fn slow_callers_harm_nobody_else() {
    let site = site();
    let start = head("/v1/chat/completions", 2_000);
    let mut slow: Vec<TcpStream> = (0..40).map(|_| raw(&site, &start)).collect();
    let answer = site.caller(0).chat("a quick question", 4);
    assert_eq!(
        answer.expect("answer"),
        expected_answer("a quick question", 4)
    );
    let trickler = &mut slow[0];
    let refused = loop {
        // A write error means that the daemon has closed the connection.
        if trickler.write_all(b" ").is_err() {
            break true;
        }
        std::thread::sleep(std::time::Duration::from_millis(100));
        let mut answer = [0; 512];
        trickler.set_nonblocking(true).expect("set");
        let read = trickler.read(&mut answer).unwrap_or(0);
        trickler.set_nonblocking(false).expect("set");
        if read > 0 {
            break String::from_utf8_lossy(&answer[..read]).contains("408");
        }
    };
    assert!(refused);
}
