//! The machine that a program runs on.

use crate::SettingsError;
use serde::Deserialize;

/// Minimum of `memory_mb`, with which a program can still serve.
const MIN_MEMORY_MB: usize = 32;
/// Minimum number of descriptors beside those for files.
const MIN_SOCKETS: usize = 64;
/// Default of `files`: standard streams, logs, files of the disk, event loops.
const DEFAULT_FILES: usize = 64;

/// Limits of the machine; one that is not set is asked of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory that the process may use, in bytes.
    pub memory: Option<usize>,
    /// Descriptors that the process may have open.
    pub descriptors: Option<usize>,
    /// Descriptors among them that are kept for files.
    pub files: usize,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            memory: None,
            descriptors: None,
            files: DEFAULT_FILES,
        }
    }
}

/// The table `machine` of a settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawMachine {
    memory_mb: Option<usize>,
    descriptors: Option<usize>,
    files: Option<usize>,
}

impl RawMachine {
    pub(crate) fn checked(&self, file: &str) -> Result<Machine, SettingsError> {
        let fail = |key: &str, reason: String| Err(SettingsError::new(file, key, reason));
        let files = self.files.unwrap_or(DEFAULT_FILES);
        if self.memory_mb.is_some_and(|mb| mb < MIN_MEMORY_MB) {
            let reason = format!("must be {MIN_MEMORY_MB} or more");
            return fail("machine.memory_mb", reason);
        }
        if self
            .descriptors
            .is_some_and(|all| all < files + MIN_SOCKETS)
        {
            let reason = format!("must be {MIN_SOCKETS} more than machine.files or higher");
            return fail("machine.descriptors", reason);
        }
        Ok(Machine {
            memory: self.memory_mb.map(|mb| mb << 20),
            descriptors: self.descriptors,
            files,
        })
    }
}
