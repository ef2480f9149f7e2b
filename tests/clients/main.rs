//! Clients that do not behave, at the system's own processes: whatever they send, each process
//! lives, stays within the memory and descriptors of its machine, and answers ordinary callers.
//!
//! These tests run one at a time, apart from others: `cargo test --test clients`.

mod entry;
mod fuzz;
mod gateway;
mod inside;
mod jobs;
mod keeper;
mod measure;
