//! The operators' page, small enough for a phone.
//!
//! The page needs no script and no other file. Without a token it shows a form to
//! enter one; the token is sent in form bodies only, never in a URL. Each change is
//! confirmed on a page of its own. Submitting a change twice does no harm: drain and
//! cancel are idempotent, and roll forward names the generation that was seen.

use crate::http::batches;
use crate::http::changes::{drain, roll_forward};
use crate::http::context::HttpContext;
use crate::http::outcomes::outcomes;
use bluebellreel_http::{ApiError, Method, Reply, Request, read_body, respond};
use bluebellreel_settings::Principal;
use bluebellreel_types::{JobId, WorkerName};
use serde_json::Value;
use std::fmt::Write;

const STYLE: &str = "body{font:16px/1.4 system-ui,sans-serif;margin:0;padding:12px;max-width:40em;\
color:#111;background:#fff}h1{font-size:1.2em;margin:0 0 8px}h2{font-size:1em;margin:16px 0 4px}\
.o{border-left:8px solid;padding:8px 10px;margin:8px 0;background:#f4f4f4}.holds{border-color:#1a7f37}\
.risk{border-color:#bf8700}.broken{border-color:#cf222e}.s{font-weight:bold}\
ul{list-style:none;margin:0;padding:0}li{border-top:1px solid #ddd;padding:8px 0;\
overflow-wrap:anywhere}button,input{font:inherit;padding:10px 14px;margin:4px 4px 4px 0;\
max-width:100%;box-sizing:border-box}button{min-height:44px}.no{color:#555;font-size:.9em}";

/// The fields of a submitted form.
#[derive(Debug, Default)]
struct Form {
    token: String,
    action: String,
    target: String,
    seen: Option<u64>,
    confirmed: bool,
}

impl Form {
    fn read(body: &[u8]) -> Self {
        let mut form = Self::default();
        let text = String::from_utf8_lossy(body);
        for pair in text.split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = decoded(value);
            match name {
                "token" => form.token = value,
                "action" => form.action = value,
                "target" => form.target = value,
                "seen" => form.seen = value.parse().ok(),
                "confirmed" => form.confirmed = value == "yes",
                _ => {}
            }
        }
        form
    }
}

/// Decodes a URL-encoded form value.
fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let hex = |b: Option<u8>| char::from(b.unwrap_or(b'0')).to_digit(16).unwrap_or(0);
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let value = hex(rest.next()) * 16 + hex(rest.next());
                bytes.push(u8::try_from(value).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Handles `/operator`.
pub(crate) fn handle(cx: &HttpContext, mut req: Request, _query: &str) {
    let reply = match req.method() {
        Method::Get => html(200, &token_form("")),
        Method::Post => match read_body(&mut req, cx.body_limits()) {
            Ok(body) => answer(cx, &Form::read(&body)),
            Err(e) => e.into(),
        },
        _ => ApiError::new(405, "bad_method", "GET or POST").into(),
    };
    respond(req, &reply);
}

fn answer(cx: &HttpContext, form: &Form) -> Reply {
    let found = cx.handles.settings.tokens.find(&form.token);
    if !matches!(found, Some(Principal::Operator(_))) {
        return html(401, &token_form("That is no operator's token."));
    }
    if form.action.is_empty() {
        return overview(cx, form, "");
    }
    if !form.confirmed {
        return html(200, &confirmation(form));
    }
    match execute(cx, form) {
        Ok(done) => overview(cx, form, done),
        Err(e) => overview(
            cx,
            form,
            &format!("Not done: {} (ran: {:?})", e.message, e.ran),
        ),
    }
}

fn execute(cx: &HttpContext, form: &Form) -> Result<&'static str, ApiError> {
    match form.action.as_str() {
        "cancel" => {
            batches::cancel(cx, &JobId::from(form.target.as_str()))?;
            Ok("The job is over; what had finished stays readable.")
        }
        "drain" => {
            drain(cx, &WorkerName::from(form.target.as_str()))?;
            Ok("The worker gets nothing new; what runs there finishes.")
        }
        "roll-forward" => {
            roll_forward(cx, form.seen)?;
            Ok("The manifest is accepted anew and goes everywhere.")
        }
        _ => Err(ApiError::new(400, "bad_action", "unknown action")),
    }
}

fn html(status: u16, body: &str) -> Reply {
    let page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\
         <title>bluebellreel</title><style>{STYLE}</style></head><body>\
         <h1>bluebellreel</h1>{body}</body></html>"
    );
    Reply::bytes(status, "text/html; charset=utf-8", page.into_bytes())
}

fn token_form(message: &str) -> String {
    format!(
        "<p>{}</p><form method=\"post\" action=\"/operator\"><label>Operator's token<br>\
         <input type=\"password\" name=\"token\" autocomplete=\"current-password\"></label>\
         <button>Show</button></form>",
        escaped(message)
    )
}

/// A form with one button.
fn button(
    form: &Form,
    label: &str,
    action: &str,
    target: &str,
    seen: u64,
    confirmed: bool,
) -> String {
    let mut fields = String::new();
    let seen = seen.to_string();
    let confirmed = if confirmed { "yes" } else { "no" };
    for (name, value) in [
        ("token", form.token.as_str()),
        ("action", action),
        ("target", target),
        ("seen", &seen),
        ("confirmed", confirmed),
    ] {
        write!(
            fields,
            "<input type=\"hidden\" name=\"{name}\" value=\"{}\">",
            escaped(value)
        )
        .ok();
    }
    format!(
        "<form method=\"post\" action=\"/operator\">{fields}<button>{}</button></form>",
        escaped(label)
    )
}

fn confirmation(form: &Form) -> String {
    let (question, label) = match form.action.as_str() {
        "cancel" => ("Cancel this job for good?", "Cancel the job"),
        "drain" => ("Let this worker leave?", "Drain the worker"),
        _ => ("Accept the manifest anew, everywhere?", "Roll forward"),
    };
    let seen = form.seen.unwrap_or(0);
    format!(
        "<p>{question}<br><b>{}</b></p>{}{}",
        escaped(&form.target),
        button(form, label, &form.action, &form.target, seen, true),
        button(form, "Back", "", "", seen, false)
    )
}

fn overview(cx: &HttpContext, form: &Form, message: &str) -> Reply {
    let view = match outcomes(cx) {
        Ok(view) => view,
        Err(e) => return html(503, &format!("<p>{}</p>", escaped(&e.message))),
    };
    let mut body = String::new();
    if !message.is_empty() {
        write!(body, "<p class=\"s\">{}</p>", escaped(message)).ok();
    }
    write!(
        body,
        "<p class=\"no\">seen from {}</p>",
        text(&view["entry"])
    )
    .ok();
    push_outcomes(&mut body, &view);
    let seen = view["changes_hold"]["generation"].as_u64().unwrap_or(0);
    body.push_str(&button(form, "Look again", "", "", seen, false));
    push_jobs(&mut body, form, &view, seen);
    push_workers(&mut body, form, &view, seen);
    write!(
        body,
        "<h2>Manifest</h2><p>generation {seen} in force here</p>"
    )
    .ok();
    body.push_str(&button(
        form,
        "Roll forward",
        "roll-forward",
        "",
        seen,
        false,
    ));
    html(200, &body)
}

/// A JSON value as HTML-escaped text.
fn text(value: &Value) -> String {
    match value {
        Value::String(text) => escaped(text),
        Value::Array(list) => list.iter().map(text).collect::<Vec<_>>().join(", "),
        other => escaped(&other.to_string()),
    }
}

fn push_outcomes(body: &mut String, view: &Value) {
    let (answers, items, changes) = (
        &view["answers_in_time"],
        &view["items_finish_once"],
        &view["changes_hold"],
    );
    let rows = [
        (
            "People waiting get answers in time",
            answers,
            format!("{} in time, {} late", answers["in_time"], answers["late"]),
            "Look at the workers: are some away or draining?",
        ),
        (
            "Every accepted item finishes once and is readable",
            items,
            items_number(items),
            "Without an owner: a daemon was lost, another takes over in seconds. Late: see the jobs. \
             Volumes on one disk: a VM with a disk is gone, copies are made; none: bring it back.",
        ),
        (
            "Accepted changes hold everywhere",
            changes,
            format!(
                "generation {} on {} of {} workers",
                changes["generation"], changes["in_force"], changes["workers"]
            ),
            "Missing on the workers named below.",
        ),
    ];
    for (title, outcome, number, advice) in rows {
        let state = outcome["state"].as_str().unwrap_or("broken");
        let class = match state {
            "holds" => "holds",
            "at risk" => "risk",
            _ => "broken",
        };
        let advice = if state == "holds" { "" } else { advice };
        write!(
            body,
            "<div class=\"o {class}\"><span class=\"s\">{state}</span> {title}<br>{number}\
             <br><span class=\"no\">{advice}</span></div>"
        )
        .ok();
    }
    let behind = text(&view["changes_hold"]["behind"]);
    if !behind.is_empty() {
        write!(body, "<p>Behind: {behind}</p>").ok();
    }
}

fn items_number(items: &Value) -> String {
    let mut number = format!(
        "{} jobs run, {} without an owner, {} late",
        items["running_jobs"], items["orphaned_jobs"], items["late_jobs"]
    );
    let volumes = &items["volumes"];
    let (alone, lost) = (&volumes["on_one_disk"], &volumes["unreadable"]);
    if volumes["volumes"] != 0 {
        write!(number, "; volumes: {alone} on one disk, {lost} on none").ok();
    }
    number
}

/// Maximum number of jobs and of workers that a page lists, so that it stays small
/// for slow connections.
const MAX_ROWS: usize = 20;

fn push_jobs(body: &mut String, form: &Form, view: &Value, seen: u64) {
    body.push_str("<h2>Jobs owned here</h2><ul>");
    let owned = view["items_finish_once"]["owned"].as_array();
    for job in owned.into_iter().flatten().take(MAX_ROWS) {
        let id = job["id"].as_str().unwrap_or("");
        write!(
            body,
            "<li>{} of {}: {} done, {} failed of {}, due {}{}</li>",
            escaped(id),
            text(&job["team"]),
            job["succeeded"],
            job["failed"],
            job["items"],
            text(&job["deadline"]),
            button(form, "Cancel", "cancel", id, seen, false),
        )
        .ok();
    }
    body.push_str("</ul>");
    push_remaining_count(body, owned.map_or(0, Vec::len));
}

fn push_workers(body: &mut String, form: &Form, view: &Value, seen: u64) {
    body.push_str("<h2>Workers</h2><ul>");
    let changes = &view["changes_hold"];
    let draining = changes["draining"].as_array().cloned().unwrap_or_default();
    let names = changes["worker_names"].as_array();
    for name in names.into_iter().flatten().take(MAX_ROWS) {
        let is_draining = draining.contains(name);
        let name = name.as_str().unwrap_or("");
        let act = if is_draining {
            " <b>draining</b>".to_owned()
        } else {
            button(form, "Drain", "drain", name, seen, false)
        };
        write!(body, "<li>{}{act}</li>", escaped(name)).ok();
    }
    body.push_str("</ul>");
    push_remaining_count(body, names.map_or(0, Vec::len));
}

fn push_remaining_count(body: &mut String, all: usize) {
    if all > MAX_ROWS {
        write!(body, "<p class=\"no\">and {} more</p>", all - MAX_ROWS).ok();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn form_values_are_decoded_and_pages_escaped() {
        let form = Form::read(b"token=a%2Bb+c&action=drain&target=w%3C1&seen=7&confirmed=yes");
        assert_eq!(form.token, "a+b c");
        assert_eq!(form.seen, Some(7));
        assert!(form.confirmed);
        assert!(confirmation(&form).contains("w&lt;1"));
    }
}
