//! Paths and headers of the chunk protocol between daemons.

use bluebellreel_chunk::ChunkFolder;

/// Path prefix of chunks.
pub(crate) const PATH_PREFIX: &str = "/internal/v1/chunks/";
/// Header with the volume's epoch as known to the writer.
pub(crate) const EPOCH_HEADER: &str = "Bluebellreel-Epoch";
/// Header that marks a copy made by another holder of the volume.
pub(crate) const COPY_HEADER: &str = "Bluebellreel-Copy";
/// Maximum size of a chunk in bytes.
pub(crate) const MAX_CHUNK_BYTES: usize = 8 << 20;

/// The URL path of a chunk.
pub(crate) fn chunk_path(folder: &ChunkFolder, digest: &str) -> String {
    let ChunkFolder {
        volume,
        job,
        upload,
    } = folder;
    format!("{PATH_PREFIX}{volume}/{job}/{upload}/{digest}")
}
