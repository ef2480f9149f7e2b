//! Lines of responses that have no end.

use bluebellreel_http::read_line;
use std::io::{BufReader, Cursor, ErrorKind, repeat};

/// A line without an end is an error once it is too long, and is not kept whole.
#[test]
fn a_line_without_end_is_an_error() {
    let mut reader = BufReader::new(repeat(b'x'));
    let error = read_line(&mut reader, 1000).expect_err("the line has no end");
    assert_eq!(error.kind(), ErrorKind::InvalidData);
}

#[test]
fn lines_up_to_the_limit_are_read() {
    let mut reader = Cursor::new("four\r\nfive5\nlast");
    let mut next = || read_line(&mut reader, 5).expect("a short line");
    assert_eq!(next().as_deref(), Some("four"));
    assert_eq!(next().as_deref(), Some("five5"));
    assert_eq!(next().as_deref(), Some("last"));
    assert_eq!(next(), None);
}
