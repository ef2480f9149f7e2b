//! Access to the platform's key-value service and VM list.

mod keys;
mod kv_pool;
mod membership;
mod records;
mod vm_list;

pub(crate) use keys::{
    claim_key, done_key, drain_key, drain_prefix, ended_key, ended_prefix, entry_key, entry_prefix,
    input_key, input_prefix, item_claim_key, item_claim_prefix, job_id_of, job_key, job_prefix,
    manifest_key, matcher_key, matcher_prefix, output_key, output_prefix, uploads_prefix,
    volume_key, volume_prefix,
};
pub(crate) use kv_pool::KvPool;
pub(crate) use membership::{STOPPED, follow_prefix, hold_lease, watch_entries};
pub(crate) use records::{EntryRecord, ListedState, ListedWorker};
pub(crate) use vm_list::watch_vms;
