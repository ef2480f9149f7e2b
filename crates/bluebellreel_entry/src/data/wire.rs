//! How daemons name chunks to each other.

use bluebellreel_chunk::ChunkFolder;

/// Below it lie the chunks.
pub(crate) const PATH_PREFIX: &str = "/internal/v1/chunks/";
/// Names the epoch of the volume as the writer knows it.
pub(crate) const EPOCH_HEADER: &str = "Bluebellreel-Epoch";
/// Marks a copy by another holder.
pub(crate) const COPY_HEADER: &str = "Bluebellreel-Copy";
/// Bytes of a chunk at the most.
pub(crate) const MAX_CHUNK_BYTES: usize = 8 << 20;

/// Where a chunk is reached.
pub(crate) fn chunk_path(folder: &ChunkFolder, digest: &str) -> String {
    let ChunkFolder {
        volume,
        job,
        upload,
    } = folder;
    format!("{PATH_PREFIX}{volume}/{job}/{upload}/{digest}")
}
