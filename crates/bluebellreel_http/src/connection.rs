//! One connection: request after request.

use crate::answer::head_of;
use crate::gate::Gate;
use crate::head::{Head, read_head};
use crate::io::Io;
use crate::{ApiError, Reply, Request, respond};
use std::net::TcpStream;
use std::sync::{Arc, mpsc};
use std::time::Duration;

/// When a caller may come back that came too early or too late.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What connections share.
pub(crate) struct Serving<H> {
    pub(crate) gate: Arc<Gate>,
    /// Most requests in progress.
    pub(crate) threads: usize,
    pub(crate) handle: H,
}

/// Serves a connection to its end.
pub(crate) fn run<H: Fn(Request)>(stream: TcpStream, cx: &Serving<H>) {
    let mut io = Io::new(stream, cx.gate.clone());
    while io.keep {
        if !io.wait_for_request() {
            say_farewell(&mut io);
            break;
        }
        match read_head(&mut io) {
            Ok(Some(head)) => match serve_one(io, head, cx) {
                Some(next) => io = next,
                None => return,
            },
            Ok(None) => return,
            Err(e) => {
                write_last(&mut io, &e.into());
                break;
            }
        }
        io.keep = io.keep && io.skip_rest();
    }
    io.close();
}

/// Hands a request to its handler; the connection once it is answered.
fn serve_one<H: Fn(Request)>(io: Io, head: Head, cx: &Serving<H>) -> Option<Io> {
    let (back, answered) = mpsc::channel();
    let req = Request::new(head, io, back);
    if cx.gate.in_progress() > cx.threads {
        let error = ApiError::new(503, "overloaded", "too many requests in progress");
        respond(req, &error.retry_after(RETRY_PAUSE).into());
    } else {
        (cx.handle)(req);
    }
    answered.recv().ok()
}

/// Tells, unasked, that whatever comes on this connection from now on is not
/// run.
///
/// Guards against a request that crosses with the close of an idle connection:
/// its caller would see the connection closed and not know whether it ran.
/// Whoever sends nothing more sees a closed connection as ever.
fn say_farewell(io: &mut Io) {
    let error = ApiError::new(503, "not_run", "not run: the server has stopped");
    write_last(io, &error.retry_after(RETRY_PAUSE).into());
}

fn write_last(io: &mut Io, reply: &Reply) {
    let length = reply.body.len();
    let head = head_of(reply);
    let head = format!("{head}Content-Length: {length}\r\nConnection: close\r\n\r\n");
    let bytes = [head.as_bytes(), &reply.body].concat();
    // A caller that has gone away needs no answer.
    io.write_all(&bytes).ok();
}
