//! Reads a job's results page by page.

use crate::jobs::store::{JobStorage, READ_PAGE, for_each_result, load_chunk, results_of};
use crate::platform::output_prefix;
use bluebellreel_job::{ItemEnd, ItemResult, JobRecord, JobState};
use bluebellreel_kv::{Key, KvError};
use serde::Serialize;
use std::collections::HashSet;
use std::sync::Arc;

/// One line of a job's results.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ItemLine {
    pub(crate) custom_id: Arc<str>,
    pub(crate) status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) response: Option<ItemResponse>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<ItemError>,
}

/// An item's answer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ItemResponse {
    pub(crate) status_code: u16,
    pub(crate) body: Arc<str>,
}

/// Why an item has no answer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ItemError {
    pub(crate) message: Arc<str>,
    pub(crate) attempts: u32,
}

/// A page of results and the cursor of the next one.
#[derive(Clone, Debug)]
pub(crate) struct ResultPage {
    pub(crate) lines: Vec<ItemLine>,
    /// Cursor of the next page, `None` on the last page.
    pub(crate) next: Option<String>,
}

/// Cursor prefix of the pages that list items without a recorded result.
const UNFINISHED: &str = "unfinished";

/// Reads one page of results in the order in which they were recorded. Unfinished
/// items of a cancelled or expired job come last.
pub(crate) fn read_results(
    storage: JobStorage<'_>,
    record: &JobRecord,
    after: Option<&str>,
) -> Result<ResultPage, KvError> {
    if let Some(rest) = after.and_then(|cursor| cursor.strip_prefix(UNFINISHED)) {
        let chunk = rest.trim_start_matches('-').parse().unwrap_or(0);
        return read_unfinished(storage, record, chunk);
    }
    let prefix = output_prefix(&record.id);
    let start = match after {
        Some(cursor) => Key::from(format!("{prefix}{cursor}\0")),
        None => prefix.clone(),
    };
    let (page, more) = storage
        .kv
        .range_page(&start, &prefix.prefix_end(), READ_PAGE, false)?;
    let mut lines = Vec::new();
    for found in &page {
        for result in results_of(storage, record, &found.value)? {
            lines.push(line_of(storage, record, result)?);
        }
    }
    let last = page.last().map(|found| &found.key);
    let next = match last {
        Some(last) if more => last
            .as_str()
            .strip_prefix(prefix.as_str())
            .map(str::to_owned),
        _ if has_unfinished(record) => Some(format!("{UNFINISHED}-0")),
        _ => None,
    };
    Ok(ResultPage { lines, next })
}

fn has_unfinished(record: &JobRecord) -> bool {
    matches!(record.state, JobState::Cancelled | JobState::Expired)
}

fn line_of(
    storage: JobStorage<'_>,
    record: &JobRecord,
    result: ItemResult,
) -> Result<ItemLine, KvError> {
    // A later owner records an item with an unknown outcome before it has read
    // the item's chunk, so the result has no custom id. It is read from the
    // chunk here.
    let custom_id = if result.custom_id.is_empty() {
        name_of(storage, record, result.index)?
    } else {
        result.custom_id
    };
    Ok(match result.end {
        ItemEnd::Succeeded { status, body } => ItemLine {
            custom_id,
            status: "succeeded",
            response: Some(ItemResponse {
                status_code: status,
                body,
            }),
            error: None,
        },
        ItemEnd::Failed { reason, attempts } => ItemLine {
            custom_id,
            status: "failed",
            response: None,
            error: Some(ItemError {
                message: reason,
                attempts,
            }),
        },
    })
}

fn name_of(storage: JobStorage<'_>, record: &JobRecord, index: u32) -> Result<Arc<str>, KvError> {
    let chunk = record.chunk_of(index);
    let names = names_in(storage, record, chunk)?;
    let first = record.chunks[chunk as usize].first;
    Ok(names
        .get((index - first) as usize)
        .cloned()
        .unwrap_or_default())
}

fn names_in(
    storage: JobStorage<'_>,
    record: &JobRecord,
    chunk: u32,
) -> Result<Vec<Arc<str>>, KvError> {
    let bytes = load_chunk(storage, record, chunk)
        .ok_or_else(|| KvError::NotDone("an input chunk cannot be read".into()))?;
    bluebellreel_job::custom_ids(&bytes).map_err(KvError::Refused)
}

/// Reads the page of one input chunk's items without a recorded result.
fn read_unfinished(
    storage: JobStorage<'_>,
    record: &JobRecord,
    chunk: u32,
) -> Result<ResultPage, KvError> {
    let Some(chunk_ref) = record.chunks.get(chunk as usize) else {
        let (lines, next) = (Vec::new(), None);
        return Ok(ResultPage { lines, next });
    };
    let range = chunk_ref.first..chunk_ref.first + chunk_ref.items;
    let mut finished = HashSet::new();
    for_each_result(storage, record, |result| {
        if range.contains(&result.index) {
            finished.insert(result.index);
        }
    })?;
    let status = if record.state == JobState::Cancelled {
        "cancelled"
    } else {
        "expired"
    };
    let names = names_in(storage, record, chunk)?;
    let unfinished = range
        .zip(names)
        .filter(|(index, _)| !finished.contains(index));
    let lines = unfinished.map(|(_, custom_id)| ItemLine {
        custom_id,
        status,
        response: None,
        error: None,
    });
    let more = (chunk as usize) + 1 < record.chunks.len();
    Ok(ResultPage {
        lines: lines.collect(),
        next: more.then(|| format!("{UNFINISHED}-{}", chunk + 1)),
    })
}
