//! Where the heads and bodies of requests end in the bytes of a connection.
//!
//! The HTTP library gets a head only once it is complete, so that what an incomplete one may
//! take, in bytes and in time, is decided here. It parses heads and bodies by itself.

/// Bytes of a request line that count for nothing: method, version, separators, host.
const FREE_LINE_BYTES: usize = 512;
/// Bytes of a field's line that count for nothing: separators and the line's end. No field is
/// shorter.
pub(crate) const FREE_FIELD_BYTES: usize = 4;
/// Maximum number of empty lines before a request.
const MAX_EMPTY_LINES: u32 = 4;
/// Maximum number of fields that the HTTP library's table of fields can hold.
pub(crate) const MAX_FIELDS: usize = 16_384;

/// Maximum size in bytes of a whole head whose bytes that count are within a limit: each line
/// has at least one of them.
pub(crate) fn max_head_bytes(limit: usize) -> usize {
    FREE_LINE_BYTES + limit.saturating_mul(1 + FREE_FIELD_BYTES)
}

/// Why a head is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// It is longer than the limit.
    TooLarge,
    /// Too many empty lines came before it.
    EmptyLines,
}

/// A head that is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WholeHead {
    /// Its length in bytes, its last line included.
    pub(crate) bytes: usize,
    /// Number of its fields.
    pub(crate) fields: usize,
}

/// Looks for the end of a head, byte by byte as they come.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeadScan {
    scanned: usize,
    /// Bytes of the current line, its end not included.
    line: usize,
    /// Whether the current line is a single carriage return so far.
    is_return: bool,
    lines: usize,
    /// Bytes of the lines before the current one that count toward the limit.
    counted: usize,
    empty_lines: u32,
}

impl HeadScan {
    /// Whether a part of a head has come.
    pub(crate) fn has_begun(&self) -> bool {
        self.lines > 0 || self.line > 0
    }

    /// Number of bytes to be removed: empty lines before the head.
    pub(crate) fn take_empty_lines(&mut self) -> usize {
        if self.lines > 0 {
            return 0;
        }
        let begin = self.scanned - self.line;
        self.scanned = self.line;
        begin
    }

    /// Continues with the bytes that came since the last call; `bytes` begin with the head.
    ///
    /// # Errors
    ///
    /// Fails once the head is longer than `limit` bytes, separators not counted, or if too many
    /// empty lines come before it.
    pub(crate) fn advance(
        &mut self,
        bytes: &[u8],
        limit: usize,
    ) -> Result<Option<WholeHead>, HeadError> {
        while let Some(byte) = bytes.get(self.scanned) {
            self.scanned += 1;
            if *byte != b'\n' {
                self.is_return = self.line == 0 && *byte == b'\r';
                self.line += 1;
                if self.counted + self.line_count() > limit {
                    return Err(HeadError::TooLarge);
                }
                continue;
            }
            let is_empty = self.line == 0 || self.is_return;
            if is_empty && self.lines > 0 {
                return Ok(Some(WholeHead {
                    bytes: self.scanned,
                    fields: self.lines - 1,
                }));
            }
            if is_empty {
                self.empty_lines += 1;
                if self.empty_lines > MAX_EMPTY_LINES {
                    return Err(HeadError::EmptyLines);
                }
            } else {
                self.counted += self.line_count().max(usize::from(self.lines > 0));
                self.lines += 1;
                if self.lines > MAX_FIELDS || self.counted > limit {
                    return Err(HeadError::TooLarge);
                }
            }
            self.line = 0;
            self.is_return = false;
        }
        Ok(None)
    }

    /// How many bytes of the current line count toward the limit.
    fn line_count(&self) -> usize {
        let free = if self.lines == 0 {
            FREE_LINE_BYTES
        } else {
            // The line feed is not part of the line.
            FREE_FIELD_BYTES - 1
        };
        self.line.saturating_sub(free)
    }
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// After this many bytes.
    After(usize),
    /// With its last chunk.
    Chunked(ChunkScan),
}

impl BodyEnd {
    /// Takes bytes of the body; returns how many belong to it, and whether it has ended.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> (usize, bool) {
        match self {
            Self::After(left) => {
                let taken = bytes.len().min(*left);
                *left -= taken;
                (taken, *left == 0)
            }
            Self::Chunked(scan) => {
                let mut taken = 0;
                while taken < bytes.len() && !scan.has_ended() {
                    taken += scan.take(&bytes[taken..]);
                }
                (taken, scan.has_ended())
            }
        }
    }
}

/// Looks for the end of a body in chunks. Bytes that are no chunks end in no end; the HTTP
/// library refuses them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ChunkScan {
    /// In a chunk's size, which is this so far.
    #[default]
    Start,
    Size(u64),
    /// Behind a chunk's size, up to the end of the line.
    Extension(u64),
    /// In a chunk's data, with this many bytes left, line end included.
    Data(u64),
    /// At the begin of a line behind the last chunk.
    Trailer,
    /// In a line behind the last chunk.
    TrailerLine,
    /// At the line feed of the empty last line.
    LastLine,
    Ended,
}

impl ChunkScan {
    fn has_ended(self) -> bool {
        self == Self::Ended
    }

    /// Takes one byte, or several of a chunk's data; returns how many.
    fn take(&mut self, bytes: &[u8]) -> usize {
        const LINE_END: u64 = 2;
        if let Self::Data(left) = self {
            let taken = usize::try_from(*left)
                .unwrap_or(usize::MAX)
                .min(bytes.len());
            *left -= taken as u64;
            if *left == 0 {
                *self = Self::Start;
            }
            return taken;
        }
        let byte = bytes[0];
        let digit = char::from(byte).to_digit(16).map(u64::from);
        *self = match (*self, byte) {
            (Self::Size(0) | Self::Extension(0) | Self::Trailer | Self::TrailerLine, b'\n') => {
                Self::Trailer
            }
            (Self::Size(size) | Self::Extension(size), b'\n') => {
                Self::Data(size.saturating_add(LINE_END))
            }
            (Self::Start, _) => Self::Size(digit.unwrap_or(0)),
            (Self::Size(size), _) => match digit {
                Some(digit) => Self::Size(size.saturating_mul(16).saturating_add(digit)),
                None => Self::Extension(size),
            },
            (Self::Trailer, b'\r') => Self::LastLine,
            (Self::LastLine, b'\n') => Self::Ended,
            (Self::Trailer | Self::TrailerLine | Self::LastLine, _) => Self::TrailerLine,
            (state, _) => state,
        };
        1
    }
}
