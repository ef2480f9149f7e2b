//! Streamed answers of the engine stand-in, as server-sent events.

use crate::words::word;
use bluebellreel_http::ChunkedStream;
use std::io;
use std::sync::mpsc::Receiver;

pub(super) enum StreamEvent {
    Token(u32),
    Finished,
    Broken,
}

pub(super) fn send_stream(
    rx: &Receiver<StreamEvent>,
    prompt: &str,
    stream: &mut ChunkedStream,
) -> io::Result<()> {
    while let Ok(event) = rx.recv() {
        match event {
            StreamEvent::Token(index) => {
                let text = word(prompt, index);
                let chunk = serde_json::json!({ "choices": [{ "delta": { "content": text } }] });
                stream.send(format!("data: {chunk}\n\n").as_bytes())?;
            }
            StreamEvent::Finished => {
                let chunk =
                    serde_json::json!({ "choices": [{ "delta": {}, "finish_reason": "stop" }] });
                stream.send(format!("data: {chunk}\n\ndata: [DONE]\n\n").as_bytes())?;
                return Ok(());
            }
            StreamEvent::Broken => return Ok(()),
        }
    }
    Ok(())
}
