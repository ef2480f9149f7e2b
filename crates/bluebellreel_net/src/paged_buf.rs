//! Buffers for large bodies that arrive in pieces.
//!
//! A general allocator keeps what was freed for later use, and a buffer that grows is copied, so
//! that the process would have more memory than is counted. The pages of these buffers are taken
//! as they fill and given back to the system at once.

use bytes::{Bytes, BytesMut};
use memmap2::{Advice, MmapMut};
use std::io;

/// Maximum size in bytes of a body that the allocator holds.
const MAX_SMALL_BYTES: usize = 64 * 1024;

/// A buffer of limited size.
pub(crate) struct PagedBuf {
    small: BytesMut,
    /// Holds everything once it is more than [`MAX_SMALL_BYTES`].
    pages: Option<MmapMut>,
    len: usize,
    limit: usize,
}

impl PagedBuf {
    /// An empty buffer that takes `limit` bytes at the most.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            small: BytesMut::new(),
            pages: None,
            len: 0,
            limit,
        }
    }

    /// Number of bytes in the buffer.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes exceed the limit, or if the system has no memory.
    pub(crate) fn extend(&mut self, bytes: &[u8]) -> io::Result<()> {
        let len = self.len + bytes.len();
        if len > self.limit {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        if self.pages.is_none() && len > MAX_SMALL_BYTES {
            self.pages = Some(self.paged()?);
        }
        match &mut self.pages {
            Some(pages) => pages[self.len..len].copy_from_slice(bytes),
            None => self.small.extend_from_slice(bytes),
        }
        self.len = len;
        Ok(())
    }

    /// Pages for the limit, with what came so far.
    fn paged(&mut self) -> io::Result<MmapMut> {
        let mut pages = MmapMut::map_anon(self.limit)?;
        // Huge pages would take more than what is filled. Not all systems have them.
        let _ = pages.advise(Advice::NoHugePage);
        let small = std::mem::take(&mut self.small);
        pages[..small.len()].copy_from_slice(&small);
        Ok(pages)
    }

    /// The bytes.
    pub(crate) fn freeze(self) -> Bytes {
        match self.pages {
            Some(pages) => Bytes::from_owner(pages).slice(..self.len),
            None => self.small.freeze(),
        }
    }
}
