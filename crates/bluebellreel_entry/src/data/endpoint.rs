//! HTTP endpoint through which peers read and write chunks on this daemon's disk.

use crate::data::access::ChunkAccess;
use crate::data::wire::{COPY_HEADER, EPOCH_HEADER, MAX_CHUNK_BYTES};
use bluebellreel_chunk::{ChunkFolder, ChunkStore, StoreError, VolumeId};
use bluebellreel_http::{ApiError, BodyLimits, Method, Reply, Request, header, read_body};
use bluebellreel_settings::is_same_token;
use bluebellreel_types::content_digest;
use std::time::Duration;

/// Timeout for receiving a chunk.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles one request of a peer.
pub(crate) fn handle(data: &ChunkAccess, req: &mut Request, rest: &str) -> Reply {
    serve(data, req, rest).unwrap_or_else(Reply::from)
}

fn serve(data: &ChunkAccess, req: &mut Request, rest: &str) -> Result<Reply, ApiError> {
    let not_found = || ApiError::new(404, "not_found", "no such chunk here");
    let (Some(settings), Some(own)) = (data.settings(), data.own()) else {
        return Err(not_found());
    };
    let token = header(req, "Authorization").and_then(|value| value.strip_prefix("Bearer "));
    if !token.is_some_and(|token| is_same_token(token, &settings.peer_token)) {
        return Err(ApiError::new(
            401,
            "unauthorized",
            "the peers' token is needed",
        ));
    }
    let (folder, digest) = parse(rest).ok_or_else(not_found)?;
    match req.method() {
        Method::Get => match own.read(&folder, digest) {
            Ok(Some(bytes)) => Ok(Reply::bytes(200, "application/octet-stream", bytes)),
            Ok(None) => Err(not_found()),
            Err(e) => Err(error_of(&e)),
        },
        Method::Put => store_chunk(data, own, req, &folder, digest),
        _ => Err(ApiError::new(405, "bad_method", "GET or PUT")),
    }
}

fn parse(rest: &str) -> Option<(ChunkFolder, &str)> {
    let mut segments = rest.split('/');
    let volume = VolumeId(segments.next()?.parse().ok()?);
    let folder = ChunkFolder::new(volume, segments.next()?, segments.next()?);
    let digest = segments.next()?;
    segments.next().is_none().then_some((folder, digest))
}

fn store_chunk(
    data: &ChunkAccess,
    own: &ChunkStore,
    req: &mut Request,
    folder: &ChunkFolder,
    digest: &str,
) -> Result<Reply, ApiError> {
    let epoch = header(req, EPOCH_HEADER).and_then(|text| text.parse::<u64>().ok());
    let is_copy = header(req, COPY_HEADER).is_some();
    let limits = BodyLimits {
        bytes: MAX_CHUNK_BYTES,
        time: BODY_TIMEOUT,
    };
    let bytes = read_body(req, limits)?;
    if content_digest(&bytes) != digest {
        return Err(ApiError::new(
            400,
            "damaged",
            "the bytes do not fit the name",
        ));
    }
    let result = match epoch {
        Some(epoch) if accepts_epoch(data, folder.volume, epoch) => {
            own.write(folder, epoch, &bytes)
        }
        None if is_copy => own.copy_in(folder, &bytes),
        _ => Err(StoreError::Moved),
    };
    match result {
        Ok(_) => Ok(Reply::bytes(204, "text/plain", *b"")),
        Err(e) => Err(error_of(&e)),
    }
}

/// Whether the volume epoch of a write is at least the one known here.
///
/// Without this check, a writer that was paused while a volume moved could store a
/// chunk on a former holder. A daemon that has just started and does not know the
/// volume yet refuses all writes to it.
fn accepts_epoch(data: &ChunkAccess, volume: VolumeId, epoch: u64) -> bool {
    data.volume_map().is_some_and(|volume_map| {
        let known = volume_map.volumes.get(&volume);
        known.is_some_and(|known| known.record.epoch <= epoch)
    })
}

fn error_of(e: &StoreError) -> ApiError {
    match e {
        StoreError::Full => ApiError::new(507, "disk_full", e.to_string()),
        StoreError::Moved => ApiError::new(409, "moved", e.to_string()),
        StoreError::InvalidName => ApiError::new(400, "bad_name", e.to_string()),
        StoreError::Io(_) => {
            log::error!(target: "data", error:% = e; "Local disk failed.");
            ApiError::new(500, "disk_failed", e.to_string())
        }
    }
}
